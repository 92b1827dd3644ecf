Feature: Crowds of callers that don't behave
  Callers that the operators don't control send many bodies of legal size at
  once, and keep connections open. A front end or a storage instance that held
  all of it would outgrow the memory or the descriptors of its machine and be
  killed, and with it the calls of all others.

  Scenario Outline: Many bodies with a length
    Guards against a front end that holds the bodies of all callers at once.

    Given a small system with machines of 88 MB and 120 MB, 500 descriptors and bodies of up to 1048576 bytes
    When <count> <kind> of <size> bytes are sent <end>
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And no machine is over its memory or its descriptors

    Examples:
      | count | kind     | size    | end                |
      | 80    | turns    | 1000000 | short of their end |
      | 80    | turns    | 1000000 | whole              |
      | 280   | turns    | 60000   | whole              |
      | 280   | payments | 200000  | short of their end |
      | 280   | payments | 200000  | whole              |

  Scenario Outline: Many bodies in chunks
    Guards against a front end that holds, or does nothing but parse, the
    chunks of a crowd.

    Given a small system with machines of 88 MB and 120 MB, 500 descriptors and bodies of up to 1048576 bytes
    When <count> <kind> of <size> bytes in chunks of <chunk> are sent <end>
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And no machine is over its memory or its descriptors

    Examples:
      | count | kind     | size    | chunk | end                |
      | 80    | turns    | 1000000 | 65536 | short of their end |
      | 80    | turns    | 1000000 | 65536 | whole              |
      | 80    | turns    | 1000000 | 8     | short of their end |
      | 80    | turns    | 1000000 | 1     | short of their end |
      | 280   | payments | 200000  | 65536 | short of their end |
      | 280   | payments | 200000  | 8     | short of their end |

  Scenario: Many responses that nobody reads
    Guards against a front end that holds the responses of all callers.

    Given a small system with machines of 88 MB and 120 MB, 500 descriptors and bodies of up to 1048576 bytes
    When 280 POST requests are sent to /pay/large, and nobody reads the responses
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And no machine is over its memory or its descriptors

  Scenario Outline: Many connections
    Guards against connections that use up the descriptors of a machine.

    Given a small system with machines of 88 MB and 120 MB, 500 descriptors and bodies of up to 1048576 bytes
    When 600 connections are opened to the <listener> and send <text>
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And an operator reads the metrics of both
    And no machine is over its memory or its descriptors

    Examples:
      | listener                        | text          |
      | front end                       | nothing       |
      | front end                       | half a method |
      | readiness check                 | half a method |
      | metrics of the front end        | half a method |
      | metrics of the storage instance | half a method |
      | storage instance                | nothing       |

  Scenario Outline: Many bodies to the other listeners
    Guards against listeners beside the callers' that hold what they are sent.

    Given a small system with machines of 88 MB and 120 MB, 500 descriptors and bodies of up to 1048576 bytes
    When the <listener> gets 280 requests with 1000000 bytes each, <end>
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And an operator reads the metrics of both
    And no machine is over its memory or its descriptors

    Examples:
      | listener                        | end                |
      | readiness check                 | short of their end |
      | readiness check                 | whole              |
      | metrics of the front end        | short of their end |
      | metrics of the storage instance | whole              |
