Feature: Callers that send without an end
  Reading them must not hold up other callers of the front end.

  Scenario Outline: A body that is little but framing
    Guards against a front end that reads it until the request's deadline, for
    a whole core.

    Given a front end's listener
    When a caller sends <what> without an end
    Then the caller is cut off before 32 MB are sent
    And 1 request of a caller was refused as "body_too_large"
    And no more than 32 KB of it were parsed in a row

    Examples:
      | what                   |
      | chunks of one byte     |
      | chunks with extensions |
      | a chunk extension      |

  Scenario Outline: A body in chunks that is sound
    Given a front end's listener
    When a caller sends a body of <size> bytes in chunks of <chunk> bytes
    Then the request has <size> bytes
    And 0 requests of a caller were refused as "body_too_large"

    Examples:
      | size    | chunk |
      | 4000000 | 100   |
      | 4000000 | 65536 |
      | 10000   | 1     |
      | 300000  | 1     |
      | 1000000 | 3     |

  Scenario: A body that is refused while it arrives
    Guards against a caller who never learns that its request was refused.

    Given a front end's listener
    When a caller sends 200000 bytes of chunk extensions and waits
    Then it gets the refusal with status 413

  Scenario Outline: A reader of the metrics that sends without an end
    Guards against an instance that does nothing else meanwhile.

    Given a server of metrics
    When a reader sends <what> without an end
    Then the reader is cut off before 32 MB are sent
    And other tasks had a turn after 200 parts at most

    Examples:
      | what               |
      | chunks of one byte |
      | a long body        |
      | header lines       |

  Scenario: Requests for metrics without an end
    Given a server of metrics
    When a reader sends 3000 requests at once
    Then other tasks had a turn after 200 parts at most
