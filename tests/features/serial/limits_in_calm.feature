Feature: Single requests at the limits
  What a caller inside the limits sends is served in calm, also by the smallest
  machines. Guards against bounds for crowds that refuse a single caller.

  Background:
    Given a small system with machines of 88 MB and 120 MB, 500 descriptors and bodies of up to 4194304 bytes

  Scenario Outline: One body at the limit
    Then a <kind> of <size> bytes in chunks of <chunk> is answered with 200
    And no machine is over its memory or its descriptors

    Examples: a length (chunk of 0), large and very small chunks
      | kind    | size    | chunk |
      | turn    | 4194304 | 0     |
      | turn    | 4194304 | 65536 |
      | turn    | 262144  | 8     |
      | payment | 4194304 | 0     |
      | payment | 4194304 | 65536 |
      | payment | 4194304 | 8     |
      | payment | 302400  | 3     |
      | payment | 302400  | 1     |
      | turn    | 262144  | 1     |

  Scenario: A conversation that has grown
    Then each of 8 turns of 1000000 bytes in one conversation is answered
    And no machine is over its memory or its descriptors

  Scenario: The largest turn at the end of a conversation
    Then each of 2 turns of 4194304 bytes in one conversation is answered
    And no machine is over its memory or its descriptors
