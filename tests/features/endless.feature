Feature: Bounds on what an endpoint sends
  An endpoint may send bytes that are no answer, until its connection is closed.
  It is given up once it has sent more than an answer may have. An answer is not
  ended for being long.

  Scenario Outline: Bytes without end before the answer
    Guards against a call that waits for its answer for ever, and a front end
    that does nothing but read.

    When an endpoint sends <bytes> without end in place of an answer
    Then the call is given up, and may have run
    And the excess "<excess>" is counted once
    And fewer than 400 KB were parsed

    Examples:
      | bytes                          | excess   |
      | interim responses              | messages |
      | answers to another request     | messages |
      | an answer to another request   | bytes    |

  Scenario Outline: Lines without end in an answer
    Guards against a front end that collects what is neither head nor body.

    When an endpoint sends <lines> without end within its answer
    Then the answer is broken off, and its connection closed
    And fewer than 400 KB were parsed

    Examples:
      | lines            |
      | one status line  |
      | one header line  |
      | header lines     |
      | one chunk's size |
      | chunk extensions |
      | trailers         |

  Scenario: Interim responses and a late answer before the answer
    When an endpoint sends 3 interim responses and a foreign one, then the answer
    Then the call is answered whole

  Scenario: The body of a rejection has no end
    Guards against a front end that holds all that comes in the time in which
    such a body is read.

    When an endpoint rejects a call, with a body without end
    Then reading the rejection ends with the excess "rejection"

  Scenario: Nobody takes what an endpoint sends
    Guards against a front end that holds what a slow caller has yet to take.

    When an endpoint sends a body without end and nobody reads it
    Then at most 128 KB of it are held

  Scenario: What has arrived of it counts, too
    Guards against a kernel that holds, for each of many such calls, more than
    a connection is counted with.

    When an endpoint sends a body without end and all that fits has arrived
    Then at most 64 KB of it are held

  Scenario: Others have their turn
    Guards against one connection that holds up all others, and its own
    deadline, as long as there is something to read.

    When an endpoint sends small chunks without end and 5000 are read
    Then others had their turn after each 16 of them

  Scenario: Others have their turn between the events of one chunk
    When a chunk of 5000 events is read
    Then others had their turn after each 16 of them

  Scenario: Bytes without end after the answer
    Guards against idle connections that fill the memory of a front end.

    When an endpoint goes on sending after an answer
    Then its connection is closed at once

  Scenario Outline: A stream without an event
    When a stream consists of <bytes> without end
    Then it is given up for the excess "no_event"
    And fewer than 400 KB were read

    Examples:
      | bytes                     |
      | an event that never ends  |
      | comments                  |
      | bytes that are no events  |
      | empty lines               |

  Scenario: A resumed stream without an event
    When a stream that goes on after event 2 consists of comments without end
    Then it is given up for the excess "no_event"
    And fewer than 400 KB were read

  Scenario: A long stream
    Guards against a sound answer that is ended for being long.

    When a stream has 50000 events with comments between them
    Then its caller gets all of it

  Scenario: A long body that is no stream of events
    When a stream's answer is a JSON document of 3 MB
    Then its caller gets all of it

  Scenario Outline: A turn goes on beyond its bounds
    When a turn of at most <events> events and <bytes> bytes has 1000 events
    Then it is given up for the excess "<excess>"
    And its caller got <got> events

    Examples:
      | events | bytes | excess | got |
      | 4      | 9000  | tokens | 4   |
      | 900    | 45    | turn   | 9   |

  Scenario: A turn has all of its events
    When a turn of at most 1000 events and 9000 bytes has 1000 events
    Then its caller gets all of it

  Scenario: Blocks that come in pieces
    Guards against a block whose end is passed over, as what was searched before
    isn't searched again.

    Then 3000 drawn streams in pieces have the blocks that each search finds
