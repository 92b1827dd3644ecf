Feature: Tasks that must go on
  A daemon whose lease, live view or heartbeats have stopped looks healthy for
  a while. Callers then meet refusals and owners that have moved, and nothing
  says why. So the end of such a task is a broken invariant at once.

  Scenario Outline: A task that must go on <ends>
    When the task of the "lease" <ends>
    Then the event loop is told of <count> broken invariants
    And the message names the "lease"

    Examples:
      | ends    | count |
      | fails   | 1     |
      | returns | 1     |

  Scenario: A task that must go on is cancelled
    When the task of the "lease" is cancelled
    Then the event loop is told of 0 broken invariants
