Feature: The list of storage instances
  Front ends and storage instances watch the store's list of storage instances.
  A process with a stale list keeps turns and opens accounts on other instances
  than the rest does.

  Scenario: A pending watch receives nothing any more
    Its connection stays open, but no change arrives. Pongs carry the revision
    of the newest change, so each ping shows that there is one.

    Given the list of storage instances is watched, but the watch stalls
    When "new" registers
    And a storage instance that knows the change replies every 0.2 seconds
    Then "new" is known after 0.5 seconds
    And the store was read once for it

  Scenario: A pending watch receives nothing any more and no reply reports it
    Given the list of storage instances is watched, but the watch stalls
    When "new" registers
    Then "new" is not known after 0.5 seconds
    And "new" is known after 12 seconds

  Scenario: A watch reports a change itself
    Replies of instances that learned of it some milliseconds earlier cause no
    call to the store.

    Given the list of storage instances is watched
    When "new" registers
    And a storage instance that knows the change replies every 0.2 seconds
    Then "new" is known after 0.5 seconds
    And the store was not read for it

  Scenario: The store replies to other instances only
    This instance can't read the change. It keeps trying, but not with each
    reply that reports the change.

    Given the list of storage instances is watched, but the watch stalls
    When "new" registers
    And the store does not reply to this instance any more
    And a storage instance that knows the change replies every 0.2 seconds
    Then "new" is not known after 5 seconds
    And the store was read at most 9 times for it

  Scenario: Pongs and the replies to followers report a change
    Given storage instances "a, b, c"
    When "d" registers and only "a" learns of it
    Then a front end beside "b" that pings "a" knows "d"
    And "c", which follows the others, knows "d"
