Feature: Attempts that are joined to one stream
  Endpoints may fail, begin again, leave events out or stop anywhere. Whatever
  they do, a stream that its caller takes for complete has each event once.

  Scenario: Any attempts are joined exactly or not at all
    Then any 400 series of attempts give the whole stream or the beginning of it

  Scenario: The check for the next event fails if it is left out
    Guards against a check that can't fail.

    Given attempts that are joined without looking at their events
    Then some of 400 series of attempts give something else

  Scenario: The check of the status fails if it is left out
    Given attempts that are joined without looking at their heads
    Then some of 400 series of attempts give something else

  Scenario Outline: A stream of one attempt
    Its endpoint ends it in an orderly way; there is nothing to compare it with.

    When a stream of one attempt consists of <text>
    Then the stream is complete, and its caller gets <text>

    Examples:
      | text                              |
      | data: a\n\ndata: b\n\n            |
      | id: x7\ndata: a\n\n               |
      | id: 5\r\ndata: a\r\n\r\n          |
      | id: 1\ndata: a\n\n\n              |
      | id: 1\ndata: a\n\n: bye\n         |
      | : wait\n\nid: 1\ndata: a\n\n      |
      | data: a\n\r\ndata: b\r\n\n        |
      | id: 1\rdata: a\r\rid: 2\rdata: b\r\r |

  Scenario Outline: A stream of one attempt ends within an event
    When a stream of one attempt consists of <text>
    Then the stream is broken off

    Examples:
      | text                       |
      | id: 1\ndata: a\n\nid: 2    |
      | id: 1\ndata: a\n\ndata: b\n |
      | data: a                    |

  Scenario Outline: A later attempt goes on or does not
    When the caller has events "<had>" and a later attempt begins with "<next>"
    Then the later attempt is <verdict>

    Examples:
      | had      | next | verdict  |
      | 1, 2     | 3    | joined   |
      | 1, 2     | 4    | left out |
      | 1, 2     | 2    | left out |
      | 1, 2     | 1    | left out |
      | 1, 2     |      | left out |
      | 10, 20   | 30   | joined   |
      | 10, 20   | 20   | left out |
      | 10, 20   | 10   | left out |
      | 7        | 8    | joined   |
      | 7        | 9    | left out |

  Scenario Outline: A stream that can't be resumed
    When the caller has events "<had>"
    Then the broken stream is <verdict>

    Examples:
      | had     | verdict       |
      | 1, 2    | resumable     |
      | 1, none | not resumable |
      | none    | not resumable |
      | a1      | not resumable |
      | none, 2 | resumable     |
