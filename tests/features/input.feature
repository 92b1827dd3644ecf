Feature: Bad input at the callers' interface
  Whatever a caller sends, it gets a clear error, others are not held up, and
  memory stays bounded.

  Background:
    Given a system that is badly used

  Scenario Outline: Requests that make no sense
    Broken clients and people with bad intentions send what no client should.
    They get a problem with a reason, which is counted; nothing is run.

    When somebody sends <what>
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
    Somebody tries to add a header of their own to what goes to an endpoint.
    The HTTP library refuses such a request before we see it.

    When somebody sends a key with a line break
    Then it is refused with status 400
    And no endpoint was called

  Scenario: A body that never comes
    A caller promises a body and sends it a byte at a time, or not at all. It
    is told so after a while, and the connection is free again.

    When somebody sends a body too slowly
    Then the problem is 408 "body_too_slow"
    And the problem was counted as "body_too_slow"

  Scenario: Connections that send nothing
    Hundreds of connections are opened and left alone. They are closed, and a
    caller with a call is served all the while.

    When 200 connections are opened that send nothing
    Then a caller is served all the while
    And the idle connections are closed and counted

  Scenario: A call that misses its deadline
    A caller can wait for so long and no longer. It is told at its
    deadline; the turn is there later, when it asks again.

    When a turn is sent that takes longer than its deadline
    Then the problem is 504 "deadline"
    And the same turn is there later
