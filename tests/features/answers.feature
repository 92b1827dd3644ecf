Feature: Each caller gets the complete answer to its own request
  Every caller gets the complete answer to its own request, or one that cannot
  be mistaken for a complete answer.

  Background:
    Given a system for answers

  Scenario: A stream breaks and is resumed at its engine
    The connection to the engine breaks in the middle of a stream. The engine
    still has the tokens, and the caller notices nothing.

    Given engines that cut the next stream after 5 tokens
    When a turn of 40 tokens is streamed
    Then the stream is the complete answer of 40 tokens
    And an engine was asked to resume
    And the engines received 1 calls

  Scenario: An engine crashes in the middle of a stream
    The engine and the rest of its answer are lost. Another engine generates
    the same answer again, and the caller gets only the missing part.

    When a turn of 300 tokens is streamed and its engine is killed meanwhile
    Then the stream is the complete answer of 300 tokens

  Scenario: The second engine's answer differs
    The second engine's answer differs from what the caller has received.
    Joined, the two would be a text that no model has generated.

    Given engines whose answers differ
    When a turn of 300 tokens is streamed and its engine is killed meanwhile
    Then the stream ends with an error and is recognizably incomplete
    When the same turn is requested again
    Then the answer is complete and from one engine

  Scenario: The second engine's answer differs, without streaming
    The caller has received nothing yet, so the second answer is valid. It
    must not be joined to the first engine's part.

    Given engines whose answers differ
    When a turn of 300 tokens is sent and its engine is killed meanwhile
    Then the answer is complete and from one engine

  Scenario: The caller disconnects and returns
    The caller's connection breaks in the middle of a turn. The turn is
    finished anyway, and the caller gets it by its number.

    When a caller disconnects during a streamed turn of 200 tokens
    And the same turn is requested again
    Then the answer is complete and from one engine
    And the engines received 1 calls

  Scenario: Many requests on few connections
    Callers send several requests on a kept-alive connection, some before the
    previous answer has arrived. If answers were mixed up, one customer would
    see another's data.

    When 3 callers each pipeline 8 requests on one connection
    Then each gets the answers to its own requests, in order

  Scenario: Many concurrent callers
    Answers arrive late and in any order, through owners and other instances.

    When 60 programs each send 2 turns at once through any instance
    Then each gets the complete answers to its own turns

  Scenario: A caller that reads slowly
    A caller stops reading in the middle of a long answer. The turn is stored
    meanwhile, and the caller gets the rest when it continues to read.

    When a caller stops reading a streamed turn of 20000 tokens
    Then the turn is stored while the caller does not read
    And the caller continues and gets the complete answer of 20000 tokens

  Scenario: Unsent parts for a slow caller are joined
    Stored one by one, the parts of an answer that is not read would fill the
    memory of the instance. When they are joined, the text must stay the same.

    Then any unsent parts are joined to few with the same text

  Scenario: A repeated run continues where the first was cut off
    The repeated part of a second run must be compared character by character,
    however the engine splits it into parts.

    Then any second run is joined exactly or found to differ

  Scenario: The owner crashes during a forwarded stream
    The caller is connected to an instance that is not the owner. The stream
    that it has started to receive must not end as if it were complete.

    When the owner is killed while it streams 300 tokens through another instance
    Then the stream ends with an error and is recognizably incomplete
    When the same turn is requested again
    Then the answer is complete and from one engine

  Scenario Outline: A stream that an engine ends without its last events
    Nothing but the events tells whether a stream is whole. An orderly end of
    the body must not be taken for the end of the answer.

    Given engines that cut the next stream after 5 tokens by <cut>
    When a turn of 40 tokens is streamed
    Then the stream is the complete answer of 40 tokens
    And an engine was asked to resume

    Examples:
      | cut          |
      | end          |
      | within_event |
      | no_finish    |

  Scenario: An engine reports an error in the middle of a stream
    The engine gives up and says so in an event; then it ends its stream as
    usual. The part before would look like the whole answer.

    Given engines that cut the next stream after 5 tokens by error
    When a turn of 40 tokens is streamed
    Then the stream is the complete answer of 40 tokens

  Scenario: An engine reports an error, without streaming
    The same in a call that is not streamed: the answer would be the part before
    the error, and the turn would be stored so.

    Given engines that cut the next stream after 5 tokens by error
    When a turn of 40 tokens is sent
    Then the answer is complete and from one engine

  Scenario Outline: A resumed stream that begins later
    An engine resumes a stream behind its beginning. The rest would be taken for
    the whole answer.

    Given engines that cut the next stream after 5 tokens
    And engines that leave out <tokens> tokens when they resume a stream
    When a turn of 40 tokens is sent
    Then the answer is complete and from one engine

    Examples:
      | tokens |
      | 1      |
      | 5      |

  Scenario: A resumed stream that begins later, of a streaming caller
    Joined, the two parts would leave out or repeat text. Another engine can
    still generate the same answer.

    Given engines that cut the next stream after 5 tokens
    And engines that leave out 5 tokens when they resume a stream
    When a turn of 40 tokens is streamed
    Then the stream is the complete answer of 40 tokens

  Scenario: A resumed stream that ends before the first one did
    An engine has lost the rest and ends the resumed stream as if it were whole.
    The answer would be shorter than what had arrived before.

    Given engines that cut the next stream after 5 tokens
    And engines that resume a stream only for a token
    When a turn of 40 tokens is sent
    Then the answer is complete and from one engine

  Scenario: An engine sends a part that cannot be joined
    A part of another form fails the attempt, not the whole instance's handling
    of the call: its caller would wait for an end that never comes.

    Given engines that cut the next stream after 5 tokens by malformed
    When a turn of 40 tokens is streamed
    Then the stream is the complete answer of 40 tokens
