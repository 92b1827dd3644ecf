Feature: Calls to the platform store by a large fleet
  The store serves a fixed number of calls a second, and each call has a price.
  If every process watched the store, each change would cost a call a process.

  Scenario Outline: A calm minute
    Given <fronts> front ends and <keepers> storage instances in 5 failure domains
    When nothing changes for 60 seconds
    Then at most 0.25 calls a second and process were made

    Examples:
      | fronts | keepers |
      | 20     | 10      |
      | 120    | 24      |

  Scenario Outline: Endpoints come and go, and storage instances restart
    Each change of the list of storage instances would wake the watches of all
    processes, and each restart changes it several times.

    Given <fronts> front ends and <keepers> storage instances in 5 failure domains
    When in 60.0 seconds <changes> entries of endpoints change and <restarts> storage instances register anew
    Then at most 0.25 calls a second and process were made
    And all front ends know all entries

    Examples:
      | fronts | keepers | changes | restarts |
      | 120    | 24      | 60      | 24       |

  Scenario: All storage instances register within a third of a second
    Given 120 front ends and 24 storage instances in 5 failure domains
    When in 0.3 seconds 0 entries of endpoints change and 24 storage instances register anew
    And nothing changes for 5 seconds
    Then at most 4 calls a process were made
    And all front ends know all entries

  Scenario: The readers of the store are gone
    Other instances take over. Until these know the recent changes, front ends
    wait at readers of other domains, and not at the store.

    Given 120 front ends and 24 storage instances in 5 failure domains
    When the readers of 2 failure domains are gone
    And 3 entries of endpoints change a second later
    Then all front ends know all entries 2 seconds later
    And at most 4 calls a process were made

  Scenario: The store rejects all storage instances
    They can't relay its changes, so front ends read it themselves.

    Given 20 front ends and 10 storage instances in 5 failure domains
    When the store rejects all storage instances
    And 3 entries of endpoints change 5 seconds later
    Then all front ends know all entries 2 seconds later

  Scenario: The store is down
    Each process retries. Refused calls have a price, too, and a store that
    comes back would get all of them at once.

    Given 60 front ends and 10 storage instances in 5 failure domains
    When the store is down for 6 seconds
    And 3 entries of endpoints change 0 seconds later
    Then all front ends know all entries 2 seconds later
    And at most 10 calls a process were made

  Scenario: The store is down, for front ends that reach no storage instance
    Given 60 front ends and 10 storage instances in 5 failure domains
    When all storage instances are gone
    And the store is down for 6 seconds
    And 3 entries of endpoints change 0 seconds later
    Then all front ends know all endpoints 2 seconds later
    And at most 20 calls a process were made

  Scenario: The store is back when the storage instances are gone
    Front ends pause while storage instances reply that the store is away. Once
    these do not reply any more, nothing else tells of its return.

    Given 20 front ends and 10 storage instances in 5 failure domains
    When the store is down for 6 seconds
    And all storage instances are gone
    And 3 entries of endpoints change 0 seconds later
    Then all front ends know all endpoints 3 seconds later

  Scenario Outline: The store is back at the worst moments for a front end
    Guards against front ends that wait for one timeout after another before
    they ask the store: its return was known after 3.05 to 3.95 seconds.

    Given 20 front ends and 10 storage instances in 5 failure domains
    And the pauses are drawn from seed <seed>
    When the store is down for 6 seconds
    And all storage instances are gone
    And 3 entries of endpoints change 0 seconds later
    Then all front ends know all endpoints 3 seconds later

    Examples:
      | seed |
      | 102  |
      | 149  |
      | 174  |
      | 191  |

  Scenario: The count detects front ends that read the store themselves
    Given 120 front ends and 24 storage instances in 5 failure domains
    And the front ends read the list of storage instances from the store
    When in 60.0 seconds 60 entries of endpoints change and 24 storage instances register anew
    Then more than 0.25 calls a second and process were made
