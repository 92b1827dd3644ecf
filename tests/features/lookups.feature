Feature: A turn that is not found here may exist elsewhere
  A front end reports that a turn does not exist only if all instances that may
  hold it have said so. If it reported that of a turn that was answered
  completely, the caller would give up its conversation.

  Scenario Outline: Storage instances that a front end does not know yet
    They joined a moment ago. Other front ends know them and have kept a whole
    conversation there.

    Given <count> storage instances in 3 failure domains
    When a storage instance joins each domain, and "s0" does not learn of it
    And a conversation is kept by the new instances
    Then a front end with the member list of "s0" finds the conversation

    Examples:
      | count |
      | 3     |
      | 8     |
      | 12    |

  Scenario: The newest turn is cached and the rest is at unknown instances
    The front end has kept the newest turn itself and needs the turns before it.

    Given 8 storage instances in 3 failure domains
    When a storage instance joins each domain, and "s0" does not learn of it
    And a conversation is kept by the new instances
    Then a front end with the member list of "s0" and the newest turn finds the whole conversation

  Scenario: The store can't tell a front end whether others have joined
    Given 8 storage instances in 3 failure domains
    When a storage instance joins each domain, and "s0" does not learn of it
    And a conversation is kept by the new instances
    And the store of these storage instances is unreachable
    Then a front end with the member list of "s0" is uncertain about the conversation

  Scenario: A turn that was never kept
    All storage instances respond, so the caller gets a definite reply.

    Given 8 storage instances in 3 failure domains
    Then a new front end near "s0" reports that the turn "never" does not exist
    When the store of these storage instances is unreachable
    Then a new front end near "s0" is uncertain about the turn "never"

  Scenario: The history of the store is lost
    The changes that a front end lacks are gone, but the list is still there.

    Given 8 storage instances in 3 failure domains
    When a storage instance joins each domain, and "s0" does not learn of it
    And a conversation is kept by the new instances
    And the store loses its history
    Then a front end with the member list of "s0" finds the conversation

  Scenario: Many callers name turns that were never kept
    Each gets a definite reply, and they share the reads of the store.

    Given 8 storage instances in 3 failure domains
    When the store is slow to reply
    And 200 callers name turns that were never kept at the same time
    Then all are told that there is no such turn
    And the store was read at most 2 times

  Scenario: Storage instances join while the store is being read
    Another caller's lookup is already reading the store. The reply, which is
    delayed, is older than the turn that this caller looks for.

    Given 8 storage instances in 3 failure domains
    When the store is slow to reply
    And the lookup of one caller is reading the store
    And a storage instance joins each domain, and "s0" does not learn of it
    And a conversation is kept by the new instances
    Then the same front end finds the conversation

  Scenario: A front end that starts after a registration has expired
    A storage instance is cut off with a turn that no other instance holds. A
    newly started front end has never known it, but the other instances have.

    Given storage instances "a, b, c"
    When "a" keeps a turn alone
    And "a" is partitioned until its registration expires
    Then a new front end near "b" is uncertain about the turn "t1"
    When "b, c" are restarted with what their disks and the store hold
    Then a new front end near "b" is uncertain about the turn "t1"

  Scenario: An instance is cut off while it is being decommissioned
    It has announced that it leaves, but not yet that the others hold all its
    data. Its registration expires like that of an instance that is done.

    Given storage instances "a, b, c"
    When "a" keeps a turn alone
    And "a" begins to be decommissioned
    And "a" is partitioned until its registration expires
    Then a front end with the history of "b" is uncertain about the turn "t1"

  Scenario: An instance that was decommissioned is removed
    It has confirmed that the others hold all its data. A turn that none of them
    has does not exist.

    Given storage instances "a, b, c"
    When "a" keeps a turn alone
    And "a" is decommissioned and removed
    Then a front end with the history of "b" finds the turn "t1"
    And a front end with the history of "b" reports that the turn "never" does not exist

  Scenario: A front end does not know yet that an instance was decommissioned
    It would count the turn as kept on a disk that is being removed, and the
    turn would be lost with the next disk.

    Given storage instances "a, b, c"
    When "a" is decommissioned
    Then a front end that does not know this keeps a turn at "b, c" only
    And "a" records no more reservations
