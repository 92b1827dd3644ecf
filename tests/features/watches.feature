Feature: Entries that are missing when the store is back
  Their holders could not renew their leases meanwhile and may register again
  within seconds. Whoever follows the store waits so long for them.

  Scenario: An entry comes back within the grace
    Its holder was there all the time. Taken for gone, it gets no work.

    Given a watch with a grace of 2 seconds and an entry
    When the store was away for 3.0 seconds and the entry was missing after it
    Then the store does not list it 0.5 seconds later
    When it is written 1.9 seconds later
    Then no removal is heard within 10.0 seconds
    And it is listed, also for one who starts to follow the store then

  Scenario: An entry does not come back
    Its holder died meanwhile. Kept on, calls go where nobody is.

    Given a watch with a grace of 2 seconds and an entry
    When the store was away for 3.0 seconds and the entry was missing after it
    Then one removal is heard within 10.0 seconds, 2.0 seconds later

  Scenario: An entry is missing after a short cut
    Leases last longer than that, so its holder has left.

    Given a watch with a grace of 2 seconds and an entry
    When the store was away for 0.5 seconds and the entry was missing after it
    Then one removal is heard within 10.0 seconds, 0.0 seconds later

  Scenario: The store reports the removal within the grace
    The prefix is read in pages: what is removed meanwhile may be missing in
    the last page, and the first watch reports it again.

    Given a watch with a grace of 2 seconds and an entry
    When the store was away for 3.0 seconds and the entry was missing after it
    And its removal is reported 0.5 seconds later
    Then one removal is heard within 10.0 seconds, 0.5 seconds later

  Scenario: An entry comes back and is removed
    The grace is for lapsed leases. A holder that came back and left is gone.

    Given a watch with a grace of 2 seconds and an entry
    When the store was away for 3.0 seconds and the entry was missing after it
    And it is written 0.5 seconds later
    And its removal is reported 1.0 seconds later
    Then one removal is heard within 10.0 seconds, 1.0 seconds later

  Scenario: A watch ends within the grace
    What it would call is being taken down.

    Given a watch with a grace of 2 seconds and an entry
    When the store was away for 3.0 seconds and the entry was missing after it
    And the watch ends 1.0 seconds later
    Then no removal is heard within 10.0 seconds

  Scenario: An entry comes back after its removal was reported
    A storage instance that still waits for it takes it off its list when the
    grace is over; fronts that start then give a live endpoint no work.

    Given a front that reads an entry through a storage instance
    When the store was away for 3.0 seconds and the entry was missing after it
    And its removal is reported 0.5 seconds later
    And it is written 1.0 seconds later
    Then one removal is heard within 10.0 seconds, 0.5 seconds later
    And it is listed, also for one who starts to follow the store then

  Scenario: An entry does not come back, at a front
    The storage instance has listed the entry on, as of the revision at which
    it was missing already. The front must hear of its removal all the same.

    Given a front that reads an entry through a storage instance
    When the store was away for 3.0 seconds and the entry was missing after it
    Then one removal is heard within 10.0 seconds, 2.0 seconds later

  Scenario: An entry comes back within the grace, at a front
    The front reads all anew when the storage instance waits for nothing more.
    It must not take the entry for gone on the way.

    Given a front that reads an entry through a storage instance
    When the store was away for 3.0 seconds and the entry was missing after it
    And it is written 1.9 seconds later
    Then no removal is heard within 10.0 seconds
    And it is listed, also for one who starts to follow the store then

  Scenario: A storage instance is missing after two outages
    The time that it had after the first one must not count for the second.

    Given a process that knows a storage instance
    When the store was away for 3.0 seconds and the entry was missing after it
    And it is written 1.0 seconds later
    And the store is away again from 2.0 to 5.0 seconds later
    Then one removal is heard within 20.0 seconds, 11.0 seconds later

  Scenario: A storage instance is missing, at a front that the store turns away
    It registers again within two renewals, not within the two seconds of
    endpoints. Taken for gone meanwhile, its accounts and turns are not found.

    Given a front that the store turns away and that knows storage instances
    When the store was away for 3.0 seconds and the entry was missing after it
    And it is written 5.0 seconds later
    Then no removal is heard within 20.0 seconds
    And it is listed, also for one who starts to follow the store then
