Feature: The whole answer to one's own request
  Every caller gets the whole answer to its own request, or one that cannot
  pass for whole.

  Background:
    Given a system for answers

  Scenario: A stream is cut and resumed at its engine
    The connection to the engine breaks in the middle of a stream. The engine
    still has the tokens; the caller notices nothing.

    Given engines that cut the next stream after 5 tokens
    When a turn of 40 tokens is streamed
    Then the stream is the whole answer of 40 tokens
    And an engine was asked to resume
    And the engines took 1 calls

  Scenario: An engine dies in the middle of a stream
    The engine is gone and with it the rest. Another engine makes the same
    answer again, and the caller gets only what was missing.

    When a turn of 300 tokens is streamed and its engine dies meanwhile
    Then the stream is the whole answer of 300 tokens

  Scenario: Another engine answers differently
    The second engine's answer differs from what the caller has seen. Joined,
    the two would make a text that no model has said.

    Given engines that answer differently
    When a turn of 300 tokens is streamed and its engine dies meanwhile
    Then the stream ends with an error and cannot pass for whole
    When the same turn is asked for again
    Then the answer is whole and from one engine

  Scenario: Another engine answers differently, without streaming
    The caller has seen nothing yet, so the second answer is as good. It must
    not be joined to what the first engine had made.

    Given engines that answer differently
    When a turn of 300 tokens is sent and its engine dies meanwhile
    Then the answer is whole and from one engine

  Scenario: The caller goes and comes back
    The caller's connection breaks in the middle of a turn. The turn is
    finished all the same, and the caller finds it under its number.

    When a caller leaves in the middle of a streamed turn of 200 tokens
    And the same turn is asked for again
    Then the answer is whole and from one engine
    And the engines took 1 calls

  Scenario: Many requests on few connections
    Callers send one request after the other on kept connections, and some
    before the answer to the last has come. Crossed, a household would see
    another's booking.

    When 3 callers each pipeline 8 requests on one connection
    Then each gets the answers to its own requests, in order

  Scenario: Many callers at once
    Answers come late and in any order, through owners and other instances.

    When 60 programs each send 2 turns at once through any instance
    Then each has the whole answers to its own turns

  Scenario: A caller that reads slowly
    A caller stops reading in the middle of a long answer. The turn is kept
    meanwhile, and the rest is there when the caller reads on.

    When a caller stops reading a streamed turn of 20000 tokens
    Then the turn is kept while the caller does not read
    And the caller that reads on gets the whole answer of 20000 tokens

  Scenario: What waits for a slow caller is joined
    Kept one by one, the parts of an answer that nobody reads would fill the
    memory of the instance. Joined, they must still say the same.

    Then any parts that wait are joined to few that say the same

  Scenario: A repeated run goes on where the first was cut
    What a second run repeats must be compared letter by letter, however the
    engine cuts it into parts.

    Then any second run is joined exactly or found to differ

  Scenario: The owner dies during a forwarded stream
    The caller is connected to another instance than the owner. The stream it
    has begun to get must not end as if it were whole.

    When the owner dies while a turn of 300 tokens is streamed through another
    Then the stream ends with an error and cannot pass for whole
    When the same turn is asked for again
    Then the answer is whole and from one engine
