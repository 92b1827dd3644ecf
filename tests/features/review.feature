Feature: Concurrent opening of accounts, and outdated member lists
  Searches for faults in how storage instances agree on the holders of an
  account.

  Scenario Outline: Several open an account while the store and others fail
    Messages and replies of the store are late or lost, instances are killed at
    any step, and one loses its disk. If two sets of holders granted, the
    program would get its budget twice. If front ends found no holders, the
    program would be refused until it ends.

    Then in <count> runs of <instances> storage instances, <disks> of whose disks may be lost, one set of holders grants and all front ends find it

    Examples:
      | instances | disks | count |
      | 3         | 1     | 100   |
      | 4         | 1     | 60    |
      | 12        | 2     | 15    |

  Scenario: The runs detect an opening instance that does not ask the store
    Then in a run of 4 storage instances that do not wait for the store's decision, two sets of holders grant

  Scenario: Member lists differ when the whole system starts for the first time
    Three instances know only each other and open an account by consent without
    the store. An instance that knows all six, with two that consent to it, must
    not conclude from a store without holders that the account is not open.

    Given storage instances "a, b, c, d, e, f"
    When "a, b, c" do not know of "d, e, f"
    And turns of a new program use up its budget at "a"
    Then the program's turns at "a, d" stay within its budget and one turn

  Scenario: An instance that opened an account with the store is gone, and the other one that knows it is cut off
    Two of four instances open the account with the store. One is killed and
    left out once its registration has expired, and the other is unreachable.
    The rest are all but one of the roster, and open the account again without
    the store.

    Given storage instances "a, b, c, d"
    When "a, d" are partitioned from "b, c"
    And 4 turns of a new program run at "c", which is killed and no longer listed
    Then the program's turns at "a" stay within its budget and one turn

  Scenario: The list of who knows such accounts is withdrawn while the store is slow
    The store withdraws it without a reply in time. If the instance took it for
    listed still, it would open the next account unlisted, and the others might
    leave out whoever knows it.

    Given an instance whose registration lists "a, b"
    When the list is withdrawn without a reply in time
    Then an account that "a, b" consent to is opened once they are listed again
    And the list is withdrawn once more when all have followed

  Scenario: An instance grants alone while it is cut off, and is left out then
    What it has granted is only set aside while it is in the roster. Once its
    registration has expired, the others grant the whole budget.

    Given "a" of storage instances "a, b, c", a version that grants more than one turn alone
    When "a" are partitioned from "b, c"
    And a program that began at "a" has 1 turns running at "a"
    And the registration of "a" expired long ago
    Then the program's turns at "b" stay within its budget and one turn

  Scenario: An instance grants one turn alone while it is cut off, and is left out then
    What it has granted is only set aside while it is in the roster. Once its
    registration has expired, the others grant the whole budget.

    Given storage instances "a, b, c"
    When "a" are partitioned from "b, c"
    And a turn of a new program runs at "a"
    And the registration of "a" expired long ago
    Then the program's turns at "b" stay within its budget and one turn

  Scenario: An instance that was left out for a while returns
    What it may have granted alone is set aside for new programs. If it were
    never given back, they would be refused before their budget is spent.

    Given "c" of storage instances "a, b, c", a version that grants more than one turn alone
    When "c" is partitioned from "a, b", and its registration expired long ago
    And a program that began at "a" has 3 turns running at "a"
    Then its next turn is refused as unsure at "a"
    When all reach each other and are listed
    Then its next turn gets a reservation at "a"
    And the program's turns at "a, c" stay within its budget and one turn

  Scenario: An instance learns of a new one from another's roster first
    The new one must still count as new, or it waits for the end of the
    registration of the machine that it replaces.

    Given storage instances "a, b, c"
    When "a" is replaced by "d" of its domain, and "c" hears of it from "b" first
    Then "d" has recovered

  Scenario: A new machine recovers from the others
    It has granted nothing on a disk that was lost. If a part were set aside for
    it, each program of the next minutes would be refused too early.

    Given storage instances "a, b, c"
    When "a" is replaced by "d" of its domain while still listed
    And "d" has followed the others
    Then nothing is set aside for "d" when "b" opens an account

  Scenario: An instance grants alone while it is cut off, and loses its disk then
    It does not know any more what it granted, and reports nothing. So the
    others set nothing aside and grant the whole budget.

    Given "a" of storage instances "a, b, c", a version that grants more than one turn alone
    When "a" are partitioned from "b, c"
    And a program that began at "a" has 1 turns running at "a"
    And all reach each other and are listed
    And "a" loses its disk and recovers from the others
    Then the program's turns at "b" stay within its budget and one turn

  Scenario: An instance grants one turn alone while it is cut off, and loses its disk then
    It does not know any more what it granted, and reports nothing. So the
    others set nothing aside and grant the whole budget.

    Given storage instances "a, b, c"
    When "a" are partitioned from "b, c"
    And a turn of a new program runs at "a"
    And all reach each other and are listed
    And "a" loses its disk and recovers from the others
    Then the program's turns at "b" stay within its budget and one turn

  Scenario: Two instances grant alone while they are cut off, and both are gone
    A part is set aside for one of them only. The third one grants the rest to
    the program although it got two parts before.

    Given "a, b" of storage instances "a, b, c", a version that grants more than one turn alone
    When "a" are partitioned from "b, c"
    And "b" are partitioned from "c"
    And a program that began at "a" has 2 turns running at "b"
    And the registration of "a" expired long ago
    And "b" is replaced by "d" of its domain while still listed
    And the registration of "b" expired long ago
    And "c" has followed the listed instances
    Then the program's turns at "c, d" stay within its budget and one turn

  Scenario: Two instances grant one turn alone each while they are cut off, and both are gone
    A part is set aside for one of them only. The third one grants the rest to
    the program although it got two parts before.

    Given storage instances "a, b, c"
    When "a" are partitioned from "b, c"
    And "b" are partitioned from "c"
    And a turn of a new program runs at "a"
    And 1 further turns run at "b"
    And the registration of "a" expired long ago
    And "b" is replaced by "d" of its domain while still listed
    And the registration of "b" expired long ago
    And "c" has followed the listed instances
    Then the program's turns at "c, d" stay within its budget and one turn

  Scenario: An instance whose registration had expired restarts while it is cut off
    The restart makes it forget that it was left out of the others' roster for
    a while. It would grant alone what they have granted without it.

    Given storage instances "a, b, c"
    When "c" is partitioned from "a, b", and its registration expired minutes ago
    And turns of a new program use up its budget at "a"
    And "c" crashes and restarts
    And "c" is listed again while it is partitioned
    Then the program's turns at "a, c" stay within its budget and one turn

  Scenario: A caller disconnects while the member list is read for others as well
    Several callers share one read of the store. If the caller that began it
    disconnects, the others must not conclude that the store is unreachable.

    When three lookups wait for a read of the member list and the one that reads is cancelled
    Then the others learn that the store has replied

  Scenario: An instance that knows all changes receives a later revision of one
    The store's revision increases with each write of any kind. An instance that
    reads the list later assigns a later revision to the same change. All
    instances that knew the change would read the list again for nothing.

    When "b" receives a change by its watch, other keys are written, and "a" reads the list
    Then the reply of "a" does not make "b" read the list

  Scenario: An instance was decommissioned and removed, and another one restarts
    The stored roster names all instances ever seen. If it were read back as it
    is, the removed instance would be in the roster again: lookups would be
    uncertain for two minutes, an opening instance would have one consent less
    to spare for an hour, and nothing would be granted alone.

    Given storage instances "a, b, c, d"
    When "a" was decommissioned and removed, and "b" restarts
    Then "b" does not include "a" in its roster

  Scenario: One of several storage instances of a domain dies
    Front ends suspect that a domain is cut off if its storage instances and
    its endpoints are silent for 0.4 s. One dead instance must not cause that.

    Given a front end and 12 storage instances in 4 failure domains
    When one of them dies, 200 times at random moments
    Then no domain was silent for long enough to be suspected
