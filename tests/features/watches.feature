Feature: Entries that are missing when the store is back
  Their holders could not renew their leases during the outage and may register
  again within seconds. A watch waits for them during a grace period.

  Scenario: An entry comes back within the grace period
    Its holder was up all the time. If it were considered gone, it would get no
    work.

    Given a watch with a grace period of 2 seconds and an entry
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    Then the store does not list it 0.5 seconds later
    When it is written 1.9 seconds later
    Then no removal is reported within 10.0 seconds
    And it is listed, also for a watch that starts then

  Scenario: An entry does not come back
    Its holder died during the outage. If the entry stayed, calls would go to an
    address where nothing listens.

    Given a watch with a grace period of 2 seconds and an entry
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    Then one removal is reported within 10.0 seconds, 2.0 seconds later

  Scenario: An entry is missing after a short outage
    Leases last longer than that, so its holder has left.

    Given a watch with a grace period of 2 seconds and an entry
    When the store was unreachable for 0.5 seconds and the entry was missing after it
    Then one removal is reported within 10.0 seconds, 0.0 seconds later

  Scenario: The store reports the removal within the grace period
    The prefix is read in pages: a key that is removed during the read may be
    missing in the last page, and the first watch reports its removal again.

    Given a watch with a grace period of 2 seconds and an entry
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    And its removal is reported 0.5 seconds later
    Then one removal is reported within 10.0 seconds, 0.5 seconds later

  Scenario: An entry comes back and is removed
    The grace period is for expired leases. A holder that came back and left is
    gone.

    Given a watch with a grace period of 2 seconds and an entry
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    And it is written 0.5 seconds later
    And its removal is reported 1.0 seconds later
    Then one removal is reported within 10.0 seconds, 1.0 seconds later

  Scenario: A watch ends within the grace period
    The objects that its callbacks use are being shut down.

    Given a watch with a grace period of 2 seconds and an entry
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    And the watch ends 1.0 seconds later
    Then no removal is reported within 10.0 seconds

  Scenario: An entry comes back after its removal was reported
    A storage instance that still waited for the entry would remove it from its
    list at the end of the grace period; front ends that start then would give a
    live endpoint no work.

    Given a front end that reads an entry through a storage instance
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    And its removal is reported 0.5 seconds later
    And it is written 1.0 seconds later
    Then one removal is reported within 10.0 seconds, 0.5 seconds later
    And it is listed, also for a watch that starts then

  Scenario: An entry does not come back, at a front end
    The storage instance went on listing the entry, as of the revision at which
    it was missing already. The front end must receive its removal all the same.

    Given a front end that reads an entry through a storage instance
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    Then one removal is reported within 10.0 seconds, 2.0 seconds later

  Scenario: An entry comes back within the grace period, at a front end
    The front end reads the prefix anew when the storage instance waits for no
    entry any more. It must not consider the entry gone in between.

    Given a front end that reads an entry through a storage instance
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    And it is written 1.9 seconds later
    Then no removal is reported within 10.0 seconds
    And it is listed, also for a watch that starts then

  Scenario: A storage instance is missing after two outages
    The grace period after the first one must not count for the second.

    Given a process that knows a storage instance
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    And it is written 1.0 seconds later
    And the store is unreachable again from 2.0 to 5.0 seconds later
    Then one removal is reported within 20.0 seconds, 11.0 seconds later

  Scenario: A storage instance is missing, at a front end that the store rejects
    It registers again within two renewals, not within the two seconds of
    endpoints. If it were considered gone before, its accounts and turns would
    not be found.

    Given a front end that the store rejects and that knows storage instances
    When the store was unreachable for 3.0 seconds and the entry was missing after it
    And it is written 5.0 seconds later
    Then no removal is reported within 20.0 seconds
    And it is listed, also for a watch that starts then
