Feature: Invalid input at the callers' interface
  Whatever a caller sends, it gets a clear error. Other callers are not delayed,
  nor does memory grow without bound.

  Background:
    Given a system with small limits for input

  Scenario Outline: Invalid requests
    Faulty or malicious clients send invalid requests. They get a problem with a
    reason, which is counted, and no endpoint is called.

    When a client sends <what>
    Then the problem is <status> "<reason>"
    And the problem was counted as "<reason>"
    And no endpoint was called

    Examples:
      | what                             | status | reason          |
      | a body beyond the limit          | 413    | body_too_large  |
      | an endless body in chunks        | 413    | body_too_large  |
      | broken JSON for a program        | 400    | bad_request     |
      | deep JSON for a program          | 400    | bad_request     |
      | deep JSON for a chat             | 400    | bad_request     |
      | deep JSON in a message           | 400    | bad_request     |
      | a chat that is a list            | 400    | bad_request     |
      | a chat with two answers          | 400    | bad_request     |
      | a body that is not UTF-8         | 400    | bad_request     |
      | a deadline that is no number     | 400    | bad_request     |
      | a turn that is no number         | 400    | bad_request     |
      | an unprintable workspace         | 400    | bad_request     |
      | a path that does not exist       | 404    | no_such_call    |
      | a method that does not exist     | 404    | no_such_call    |
      | the holder of acts as a program  | 404    | unknown_program |
      | an end of the holder of acts     | 404    | unknown_program |
      | the holder of acts as a parent   | 404    | unknown_program |
      | a parent of another workspace    | 403    | foreign_program |
      | an end of another's program      | 403    | foreign_program |
      | a program of an unknown class    | 422    | unknown_class   |

  Scenario: A header with a line break
    A client tries to inject a header into a request to an endpoint. The HTTP
    library refuses it before it reaches the daemon's code.

    When a client sends a key with a line break
    Then it is refused with status 400
    And no endpoint was called

  Scenario: A body that never arrives
    A caller announces a body and sends it byte by byte, or not at all. It is
    refused after a timeout, and the connection is released.

    When a client sends a body too slowly
    Then the problem is 408 "body_too_slow"
    And the problem was counted as "body_too_slow"

  Scenario: Connections that send nothing
    Hundreds of connections are opened and stay idle. They are closed, and a
    caller is served meanwhile.

    When 200 connections are opened that send nothing
    Then a caller is served meanwhile
    And the idle connections are closed and counted

  Scenario: A call that misses its deadline
    A caller waits for a limited time. It is refused at its deadline, and a
    later repeat returns the turn.

    When a turn is sent that takes longer than its deadline
    Then the problem is 504 "deadline"
    And a later repeat returns the turn
