Feature: Stale and partial views
  Each process acts on what it knows, which may be less than there is. Nothing
  may be treated as certain only because a stale or partial view suggests it.

  Scenario: An entry expired while the store was unreachable
    Storage instances, one of them late, hold it back for two seconds after the
    store's return. A front end that is up to date otherwise by then must still
    receive its removal, or it sends calls to an endpoint that is gone for as
    long as it runs.

    Given a front end that watches "servers/" through storage instances "east, west"
    When the store was unreachable for 4 seconds and the entry of "one" is missing after it
    Then 1.5 seconds after its return the front end still knows "one"
    And 4.0 seconds after its return the front end knows only "two"

  Scenario: An entry that expired is written again while its removal is reported
    The removal is reported again for some seconds, to front ends that may not
    have received it. It must not undo changes that they have received since.

    Given a front end that watches "servers/" through storage instances "east, west"
    When the store was unreachable for 4 seconds and the entry of "one" is missing after it
    And "one" registers again 4.0 seconds after its return
    Then from 4.6 to 20.0 seconds after its return the front end knows "one, two"

  Scenario: An instance that lost its disk starts while another one is not listed
    The other one has been partitioned for so long that its registration has
    expired. Only it knows of reservations that the third instance missed while
    it was down. If the list were considered complete, two holders without these
    reservations would form a majority, and the program would spend them twice.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And 2 further turns run at "b" while "a" is killed and does not follow them
    And "c" is partitioned from "a, b", and its registration expired long ago
    And "b" loses its disk and starts where "c" is not listed
    And "b" has followed the listed instances
    Then the program's turns at "a, b" stay within its budget and one turn
    And "b" has not recovered
    When all reach each other and are listed
    And "b" has followed the listed instances
    Then "b" has recovered
    And the program's turns at "a, b, c" stay within its budget and one turn

  Scenario: An account that a listed instance does not know
    An instance that has lost its disk follows another one that was down when
    the account was opened. Neither knows it, and they open it a second time.

    Given storage instances "a, b, c"
    When 4 turns of a new program run at "c" while "b" is killed
    And "a" is partitioned from "b, c", and its registration expired long ago
    And "c" loses its disk and starts where "a" is not listed
    And "c" has followed the listed instances
    Then the program's turns at "b, c" stay within its budget and one turn

  Scenario: A previous turn that an instance with a lost disk has not fetched
    Both listed instances report that they hold everything, and neither holds
    the turn; the instance that holds it is partitioned. A front end that has
    just started reports the turn as nonexistent.

    Given storage instances "a, b, c"
    When a turn is kept at "b, c" while "a" is killed and does not follow them
    And "c" is partitioned from "a, b", and its registration expired long ago
    And "b" loses its disk and starts where "c" is not listed
    And "b" has followed the listed instances
    Then a front end that starts beside "b" does not report the turn as nonexistent

  Scenario: Machines lose their disks one after the other
    The first one was down while turns began. The next one is replaced, and when
    its successor has followed all others the third loses its disk. No more than
    one disk is lost at a time, so the first must have fetched by then what it
    had missed.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And 2 further turns run at "b" while "a" is killed
    And "c" is replaced by "d" of its domain while still listed
    And the registration of "c" expired long ago
    And "a" has followed the listed instances
    And "d" has followed the listed instances
    And "b" loses its disk and starts where "c" is not listed
    And "b" has followed the listed instances
    Then "b" has recovered
    And the program's turns at "a, b" stay within its budget and one turn

  Scenario Outline: A machine is replaced, and its successor loses its disk
    The registration of the first machine expires long after it has gone. If it
    counted as present until then, its successor would wait two minutes for what
    only the first one could know, and another lost instance would leave too few
    to open accounts: all new programs would be refused.

    Given storage instances "a, b, c"
    When "a" is replaced by "d" of its domain while still listed
    And "b" has followed the listed instances
    And "c" has followed the listed instances
    And the registration of "a" expires <before>
    And "d" loses its disk and restarts
    And the registration of "a" expires <after>
    And "d" has followed the listed instances
    Then "d" has recovered

    Examples:
      | before | after |
      | now    | never |
      | never  | now   |

  Scenario: A new machine starts while the one that it replaces is still listed
    It had no data that the other one could know of. If it waited for the end of
    the other one's registration, the store would have to decide on each new
    program until then.

    Given storage instances "a, b, c"
    When "a" is replaced by "d" of its domain while still listed
    Then "d" has recovered

  Scenario: An instance whose registration had expired is listed again
    The others did not count it for a while and opened accounts without it. It
    reaches the store before it reaches any of them, and must not grant alone
    what they have granted already.

    Given storage instances "a, b, c"
    When "c" is partitioned from "a, b", and its registration expired minutes ago
    And turns of a new program use up its budget at "a"
    And "c" is listed again while it is partitioned
    Then the program's turns at "c" stay within its budget and one turn

  Scenario: An instance whose registration had expired starts again
    As before, but after its restart it does not know that it was not counted.

    Given storage instances "a, b, c"
    When "c" is partitioned from "a, b", and its registration expired minutes ago
    And turns of a new program use up its budget at "a"
    And "c" is killed and restarted
    And "c" is listed again while it is partitioned
    Then the program's turns at "c" stay within its budget and one turn

  Scenario: An unreachable holder knows what turns have used
    A front end settled the turns and reached one holder only. The others count
    them at their full reservations. They must not report the budget as spent,
    which ends the program; it continues once the third holder is reachable
    again.

    Given storage instances "a, b, c"
    When a program that began at "b" has 4 turns running at "a"
    And "a" is partitioned from "b, c", and the turns end there with little used
    Then its next turn is refused as unsure at "b"
    When all reach each other and are listed
    Then its next turn gets a reservation at "b"

  Scenario: A program that has used its budget while a holder is unreachable
    That is certain, no matter what the third holder knows, and ends the
    program.

    Given storage instances "a, b, c"
    When a program that began at "b" has 4 turns running at "a"
    And the turns end with all used, and "a" is partitioned from "b, c"
    Then its next turn is refused as spent at "b"

  Scenario Outline: A request is repeated while a storage instance's disk is slow
    The instance has the record of the first request in memory only. A reply now
    would count elsewhere as a record on its disk, which a power loss removes.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And the disk of "b" is blocked
    And "b" gets two requests for <what>
    Then neither was answered
    When the disk of "b" is unblocked
    Then both were answered

    Examples:
      | what                                             |
      | a further turn                                   |
      | its consent to where another account is          |
      | a turn which another holder has reported already |

  Scenario: An instance is decommissioned while another one is not listed
    The other one has been partitioned for so long that its registration has
    expired. Turns that only one other domain holds, and reservations that only
    one other holder knows, are gone with the next lost disk; the decommissioned
    instance does not count as a lost disk.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And "c" is partitioned from "a, b", and its registration expired long ago
    And a turn is kept at "a, b"
    And 2 further turns run at "a"
    And the decommissioning of "a" is requested
    Then 2 seconds later "a" does not report that it is decommissioned
    When all reach each other and are listed
    Then "a" reports that it is decommissioned
    And "b, c" have the turn and the 3 reservations

  Scenario: A reservation is recorded after accounts were transferred
    The machine is removed with its disk as soon as it has reported that it is
    decommissioned. A reservation that it records after the transfer is known to
    one other holder only, and counts as if it were on two disks.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And the decommissioning of "c" is requested, and the store is too slow for its report
    And 2 further turns are requested at "b" while "a" is killed
    And "c" is removed
    And "b" loses its disk and starts where "c" is not listed
    And "b" has followed the listed instances
    Then the program's turns at "a, b" stay within its budget and one turn

  Scenario: A turn is kept after all turns were transferred
    A front end with a stale list sends it there. It must not count as kept.

    Given storage instances "a, b, c"
    When the decommissioning of "c" is requested, and the store is too slow for its report
    Then a front end with the old list does not count a turn as kept at "c"

  Scenario: A partition that outlasts the registrations of its domain
    Its storage instances are not listed any more after ten seconds. That does
    not show that the domain is reachable, and calls placed there again would be
    lost.

    Given a front end that considers "west" cut off
    When the storage instances of "west" are not listed any more for 3 seconds
    Then "west" is still considered cut off
    When endpoints of "west" can be reached again for 1 second
    Then "west" is not considered cut off

  Scenario: The store removes the registrations of two running instances
    It rejects these machines for some seconds and has ended their leases. All
    instances reply. A turn that only one of them keeps is lost with the next
    disk, although two others could have stored it.

    Given storage instances "a, b, c"
    When the store removes the registrations of "b, c"
    Then a front end beside "a" keeps a turn in 2 failure domains

  Scenario: The store removes the registrations of two, and turns are requested
    All holders reply, and still all but a few turns would be refused.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And the store removes the registrations of "b, c"
    Then its next 4 turns get reservations at "a"

  Scenario: An instance is decommissioned while turns go on
    Each reservation that it records is one more that the others must fetch. If
    it waited until they had fetched all of them at one moment, it would never
    finish.

    Given storage instances "a, b, c"
    When turns of 10 programs that began at "a" are requested at "b" continually
    And the decommissioning of "a" is requested
    Then "a" reports that it is decommissioned
