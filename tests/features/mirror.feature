Feature: Reading the store through storage instances
  Front ends alternate between storage instances. An instance that has lost the
  store does not notice it for some seconds and reports no changes.

  Scenario Outline: Configuration and endpoints are read in step
    Both watches end at the same time. If they share one rotation of storage
    instances, one of them uses the stale instance each time, and the front end
    sends calls to an endpoint that announced three seconds ago that it leaves.

    Given storage instances of "east, west" of which that of "east" is stale
    When a front end of "east" watches two prefixes in step and only "<changed>" changes
    Then it has received the change of "<changed>" within 1.5 seconds

    Examples:
      | changed  |
      | config/  |
      | servers/ |

  Scenario: An entry is missing when the store is back
    Its holder could not renew its lease during the outage and has two seconds
    to register again. If the removal were reported at once, a front end would
    consider a live endpoint gone.

    Given a storage instance that watches "servers/" with an entry
    When the store was unreachable for 3 seconds and the entry is missing after it
    Then a front end that watches receives nothing for 1.9 seconds, and then its removal

  Scenario: Configuration and endpoints have not changed for long
    With one watch request for each of them, front ends sent twice as many, and
    the storage instances spent more on these than on anything else for front
    ends.

    Given storage instances of "east, west" of which that of "none" is stale
    When a front end of "east" watches two prefixes for 60 seconds and none changes
    Then it has sent at most 2 watch requests a second

  Scenario: The storage instance that handles a front end's watch freezes
    Its connection stays open and no reply arrives. A front end that waits for
    the full timeout sends calls to an endpoint that has announced that it
    leaves.

    Given storage instances of "east, west" of which that of "none" is stale
    When that of "east" freezes and "servers/" changes, 50 times at random moments
    Then a front end of "east" has received each change within 1.2 seconds

  Scenario Outline: One of two prefixes that share a watch request changes
    If it were reported only at the end of the request, each change would arrive
    late by up to the request's timeout.

    Given a front end that watches two prefixes through one storage instance
    When "<changed>" changes 20 times at random moments
    Then it receives each change within 0.1 seconds

    Examples:
      | changed  |
      | config/  |
      | servers/ |
