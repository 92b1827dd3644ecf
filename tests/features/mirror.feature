Feature: Reading the store through storage instances
  Fronts ask storage instances by turns. One that has lost the store does not
  know it for some seconds, and says that nothing is new.

  Scenario Outline: Configuration and endpoints are read in step
    Both watches end at the same moments. If they share their turns, one of
    them asks the stale storage instance each time, and the front sends calls
    to an endpoint that has said three seconds ago that it leaves.

    Given storage instances of "east, west" of which that of "east" is stale
    When a front of "east" follows two prefixes in step and only "<changed>" changes
    Then it has heard of the change of "<changed>" within 1.5 seconds

    Examples:
      | changed  |
      | config/  |
      | servers/ |

  Scenario: An entry is missing when the store is back
    Its holder could not renew its lease meanwhile, and has two seconds to come
    back. Passed on at once, a front takes a live endpoint for gone.

    Given a storage instance that follows "servers/" with an entry
    When the store was away for 3 seconds and the entry is missing after it
    Then a front that asks hears nothing for 1.9 seconds, and then of its removal

  Scenario: Configuration and endpoints have not changed for long
    With a wait for each of them, fronts asked twice as often, and more than
    storage instances did anything else for them.

    Given storage instances of "east, west" of which that of "none" is stale
    When a front of "east" follows two prefixes for 60 seconds and none changes
    Then it has asked at most 2 times a second

  Scenario: The storage instance at which a front waits freezes
    Its connection stays open and nothing comes. A front that waits out its
    time there sends calls to an endpoint that has said that it leaves.

    Given storage instances of "east, west" of which that of "none" is stale
    When that of "east" freezes and "servers/" changes, 50 times at moments of its own
    Then a front of "east" has heard of each change within 1.2 seconds

  Scenario Outline: One of two prefixes that are waited for together changes
    Told only when the wait is over, each change comes up to a wait later.

    Given a front that follows two prefixes at one storage instance
    When "<changed>" changes 20 times at moments of its own
    Then it hears of each change within 0.1 seconds

    Examples:
      | changed  |
      | config/  |
      | servers/ |
