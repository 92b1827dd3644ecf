Feature: Rate limits of workspaces over all front ends
  Each request of a workspace may arrive at any front end, and no front end sees
  the others' requests. A window of five seconds may hold rate and burst, a
  tenth more, and 20 requests.

  Scenario: The limit holds through failures
    Guards against counting only what one side of a cut sees, against tokens
    that outlive their window, and against a full burst whenever an instance
    begins to lend.

    Given 20 random histories of cuts, kills, slow machines and hot workspaces
    Then no window of 5 seconds holds more than the limit

  Scenario Outline: The check notices broken rules
    Given <count> random histories of cuts, kills, slow machines and hot workspaces
    And <rule>
    Then some window of 5 seconds holds more than the limit

    Examples:
      | count | rule                                                          |
      | 12    | front ends that borrow many tokens ahead, which do not expire |
      | 5     | instances that lend the whole rate when cut off               |
      | 20    | instances that begin to lend with a full burst                |

  Scenario: Front ends that borrow more than they need
    Given 6 random histories of cuts, kills, slow machines and hot workspaces
    And front ends that borrow many tokens ahead
    Then no window of 5 seconds holds more than the limit

  Scenario: Nothing is refused below the limit
    Programs come at two thirds of the rate, and each sends its requests in a
    quick row through one front end.

    Given 6 calm histories of programs at 0.65 of the rate
    Then at most 0.5 % of the requests are refused

  Scenario: A workspace at three times its rate
    A program that is refused midway has used endpoints to no end.

    Given 6 calm histories of programs at 3.0 of the rate
    Then at least 90 % of the rate is used
    And at most 5 % of the programs that have begun are refused later

  Scenario: The limit is lowered
    Given 6 calm histories of programs at 3.0 of the rate
    When the rate is halved in the middle of each
    Then no window of 5 seconds holds more than the limit
