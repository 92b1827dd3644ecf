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
