Feature: Long turns of the event loop
  A turn that takes long holds up all calls of a process. From outside that
  looks like a slow endpoint, a slow network or a frozen machine.

  Scenario Outline: A turn is long
    Guards against a process that is held up, with nothing in its log.

    When a turn of the event loop is <busy> for 1 second
    Then one warning "loop_held_up" tells of one turn of 500 ms and more
    And its processor time is <time> 300 ms
    And the metrics have a late timer

    Examples:
      | busy    | time      |
      | at work | more than |
      | blocked | less than |

  Scenario: Turns are long again and again
    Guards against a log that is flooded by a process in trouble.

    When timers are late by 300 ms, 40 times in 10 seconds
    Then they are reported 2 times, and 21 turns in all

  Scenario: Requests for metrics that come together
    Guards against a reader of metrics that holds up a process by sending many
    requests at once.

    When 300 requests are sent at once to the address of the metrics
    Then all 300 are answered
    And others had their turn between any two of them

  Scenario: Turns are short
    When timers are late by 30 ms, 40 times in 10 seconds
    Then they are reported 0 times, and 0 turns in all
