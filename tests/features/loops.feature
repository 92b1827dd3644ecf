Feature: Background tasks that must not end
  A daemon whose lease, live view or heartbeats have stopped looks healthy for a
  while. Callers then get refusals, and owners move without a visible cause. The
  end of such a task is therefore reported as a broken invariant at once.

  Scenario Outline: A task that must not end <ends>
    When the task "lease" <ends>
    Then the event loop receives <count> broken invariants
    And the message names the "lease"

    Examples:
      | ends    | count |
      | fails   | 1     |
      | returns | 1     |

  Scenario: A task that must not end is cancelled
    When the task "lease" is cancelled
    Then the event loop receives 0 broken invariants
