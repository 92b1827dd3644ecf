Feature: A turn that was answered whole is on more disks than may be lost
  Guards against turns that one lost disk takes away: their callers have the
  whole answer, and are told later that there is no such turn.

  Scenario: A front end whose failure domain is cut off gets a turn
    Guards against a turn that runs although only one disk can have its end.

    Given 3 storage instances in 3 failure domains
    When "s0" is cut off, and a front end there has noticed it
    Then the front end refuses the next turn of a conversation at once, as not run
    And the refusal says when to come back
    When "s0" reaches the others again
    Then the front end lets the next turn of a conversation run

  Scenario: A failure domain is cut off while a turn runs
    Guards against an answer that ends whole with its turn on one disk.

    Given 3 storage instances in 3 failure domains
    When "s0" is cut off
    Then a front end near "s0" does not count a turn as kept, and its cache has no such turn

  Scenario: A cut ends before the deadline of a turn that ran meanwhile
    Guards against answers that are broken off although two disks have the turn
    a moment later.

    Given 3 storage instances in 3 failure domains
    When "s0" is cut off
    Then a front end near "s0" counts a turn as kept that ends just before the cut does

  Scenario: A front end knows that its failure domain is cut off when a turn ends
    Guards against callers that wait until their deadline for the end of a turn
    while another domain would serve them.

    Given 3 storage instances in 3 failure domains
    When "s0" is cut off, and the store is unreachable
    Then a front end near "s0" that knows it gives a turn up before its deadline

  Scenario Outline: Fewer failure domains than copies are reachable
    Guards against one copy a domain where a domain has several disks.

    Given <count> storage instances in 3 failure domains, two of which may lose their disks at once
    When the failure domain of "<cut>" is cut off
    Then a front end near "s0" keeps a turn at 3 instances
    And the front end finds the turn without any 2 of the instances that keep it

    Examples: the front end is in the domain that is cut off, or outside
      | count | cut |
      | 9     | s0  |
      | 9     | s1  |
      | 8     | s1  |

  Scenario: The instance that should store a turn does not respond
    Guards against a copy less where another instance of the domain is there.

    Given 6 storage instances in 3 failure domains
    When of each failure domain but that of "s0" the instance that should store a turn is killed
    Then a front end near "s0" keeps a turn at 2 instances

  Scenario: Disks sync for longer than a request waits for its reply
    Guards against a turn that is broken off at its deadline although all disks
    have it, as each request for it waits for a sync of its own.

    Given storage instances "a, b, c"
    When each sync takes 600 ms, and requests wait no longer than they say
    Then a front end near "a" keeps a turn before its deadline

  Scenario: An instance that is leaving is needed for a turn
    Guards against turns that are refused while a disk is there that passes them
    on before it goes.

    Given 3 storage instances in 3 failure domains
    When "s1" begins to be decommissioned
    And 1 storage instances of different domains are down
    Then a front end near "s0" keeps a turn at 2 instances

  Scenario: Two instances of one failure domain are left, and one loses its disk
    Guards against a turn that is kept once because both are in one domain.

    Given 4 storage instances in 3 failure domains
    When "s1, s2" are decommissioned and removed, one after the other
    And a front end near "s0" keeps 20 turns
    And "s3" loses its disk
    Then a front end near "s0" finds all 20 turns
    When "s3" has started and followed "s0", which loses its disk then
    Then a front end near "s3" finds all 20 turns

  Scenario: Turns from before two instances of one failure domain were left
    Guards against an emptied instance that leaves turns on one disk.

    Given 4 storage instances in 3 failure domains
    When a front end near "s1" keeps 20 turns
    And "s1, s2" are decommissioned and removed, one after the other
    And "s0" loses its disk
    Then a front end near "s3" finds all 20 turns

  Scenario: A failure domain is lost without an order
    Guards against turns that stay on one disk once their second one is gone.

    Given 3 storage instances in 2 failure domains
    When a front end near "s0" keeps 20 turns
    And "s1" loses its disk, and its registration expired long ago
    And "s0, s2" have followed the others
    And "s0" loses its disk
    Then a front end near "s2" finds all 20 turns

  Scenario: The last instance but one is ordered to leave
    Guards against an order that leaves one disk for all turns.

    Given storage instances "a, b"
    When the decommissioning of "a" is requested
    Then 2 seconds later "a" does not report that it is decommissioned
    And a front end near "b" keeps a turn at 2 instances
    When "c" joins them in a failure domain of its own
    Then "a" reports that it is decommissioned
    And a front end near "b" keeps a turn at 2 instances

  Scenario: Two of three instances are ordered to leave at the same moment
    Guards against two that each take the other one for staying.

    Given storage instances "a, b, c"
    When the decommissioning of "a" and "b" is requested at the same moment
    Then "a" reports that it is decommissioned
    And 2 seconds later "b" does not report that it is decommissioned
    And a front end near "c" keeps a turn at 2 instances
