Feature: A turn that is not found here may lie elsewhere
  A front tells a caller that a turn does not exist only if it has heard so
  from all that may hold it. Told so of a turn that was answered whole, the
  caller gives its conversation up.

  Scenario Outline: Storage instances that a front has not heard of yet
    They joined a moment ago, other fronts know them and have kept a whole
    conversation there.

    Given <count> storage instances in 3 failure domains
    When a storage instance joins each domain, and "s0" does not hear of it
    And a conversation is kept by those that have joined
    Then a front that knows what "s0" knows finds the conversation

    Examples:
      | count |
      | 3     |
      | 8     |
      | 12    |

  Scenario: The newest turn is at hand and the rest on instances not heard of
    The front has kept the newest turn itself and needs the turns before it.

    Given 8 storage instances in 3 failure domains
    When a storage instance joins each domain, and "s0" does not hear of it
    And a conversation is kept by those that have joined
    Then a front that knows what "s0" knows and has the newest turn finds it all

  Scenario: The store can't tell a front whether others have joined
    Given 8 storage instances in 3 failure domains
    When a storage instance joins each domain, and "s0" does not hear of it
    And a conversation is kept by those that have joined
    And the store of these storage instances is away
    Then a front that knows what "s0" knows is not certain of the conversation

  Scenario: A turn that was never kept
    All storage instances are there: the caller is told for good.

    Given 8 storage instances in 3 failure domains
    Then a new front beside "s0" denies the turn "never"
    When the store of these storage instances is away
    Then a new front beside "s0" is not certain of the turn "never"

  Scenario: The history of the store is lost
    The changes that a front lacks are gone; the list itself is still there.

    Given 8 storage instances in 3 failure domains
    When a storage instance joins each domain, and "s0" does not hear of it
    And a conversation is kept by those that have joined
    And the store forgets its history
    Then a front that knows what "s0" knows finds the conversation

  Scenario: Many callers name turns that were never kept
    Each is answered for certain, and the store is asked for all at once.

    Given 8 storage instances in 3 failure domains
    When the store's answers take a while
    And 200 callers name turns that were never kept at the same time
    Then all are told that there is no such turn
    And the store was asked at most 2 times

  Scenario: Storage instances join while the store is being read
    Another caller's look-up has asked the store already. Its answer, on the
    way for a while, is older than the turn that this one looks for.

    Given 8 storage instances in 3 failure domains
    When the store's answers take a while
    And one caller's look-up has asked the store
    And a storage instance joins each domain, and "s0" does not hear of it
    And a conversation is kept by those that have joined
    Then the same front finds the conversation

  Scenario: A front that starts after a registration has lapsed
    A storage instance is cut off, with a turn that only it could take. A front
    that has just started has never heard of it; the others have.

    Given storage instances "a, b, c"
    When "a" keeps a turn alone
    And "a" is cut off until its registration lapses
    Then a new front beside "b" is not certain of the turn "t1"
    When "b, c" are started again on what their disks and the store tell
    Then a new front beside "b" is not certain of the turn "t1"

  Scenario: An instance is cut off while it is being emptied
    It has said that it leaves, and not yet that all it holds lies elsewhere.
    Its registration lapses like that of one that is done.

    Given storage instances "a, b, c"
    When "a" keeps a turn alone
    And "a" begins to be emptied
    And "a" is cut off until its registration lapses
    Then a front that has heard so beside "b" is not certain of the turn "t1"

  Scenario: An instance that was emptied is gone
    It has said so itself. What nobody has now exists nowhere.

    Given storage instances "a, b, c"
    When "a" keeps a turn alone
    And "a" is emptied and gone
    Then a front that has heard so beside "b" finds the turn "t1"
    And a front that has heard so beside "b" denies the turn "never"

  Scenario: A front does not know yet that an instance was emptied
    It would count the turn as kept on a disk that is taken away, and the next
    lost disk would take the turn as well.

    Given storage instances "a, b, c"
    When "a" is emptied
    Then a front that has not heard so keeps a turn at "b, c" alone
    And "a" records no permission any more
