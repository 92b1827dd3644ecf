Feature: A failure domain that becomes unreachable from a front end
  It sends nothing back, not even an error. Calls that are placed or wait there
  are lost until the partition ends, seconds later.

  Scenario: A domain is partitioned while calls run there
    The heartbeats of its storage instances are missing, and its endpoints send
    nothing any more. Callers of streams would wait for two seconds until they
    time out.

    Given a front end that gets data from domains "west, north" every 50 ms
    When "west" is partitioned for 2 seconds
    Then "west" was considered unreachable within 700 ms
    And "north" was not considered unreachable
    When all domains are reachable for 1 second
    Then no domain is considered unreachable

  Scenario: Only the storage instances of a domain are down
    Its endpoints work. If the domain were considered unreachable, a third of
    all endpoints would be idle until the storage instances are back.

    Given a front end that gets data from domains "west, north" every 50 ms
    When the storage instances of "west" are down for 3 seconds
    Then "west" was not considered unreachable

  Scenario: Only the storage instances are down, and no calls run there
    Given a front end that has no calls in domains "west, north"
    When the storage instances of "west" are down for 3 seconds
    Then "west" was not considered unreachable

  Scenario: Requests that wait for a domain that becomes unreachable
    A stream is aborted at once, so that its caller sends the turn again. A
    payment keeps waiting: its response may arrive when the partition is over.
    It must not be sent a second time.

    Given an endpoint of "west" that accepts requests and does not respond
    When a stream and a payment wait for it and "west" becomes unreachable
    Then the stream is aborted at once
    And the payment keeps waiting

  Scenario: No call is placed in an unreachable domain
    A payment that is sent there may run, and its caller's program fails.

    Given endpoints in "east", "west" and "north", of which the one in "west" is the fastest
    When "west" is marked unreachable
    Then 50 payments from "east" are placed in "east" and "north" only
    When "east, west, north" are marked unreachable
    Then a payment is refused at once as not run, with a retry delay
