Feature: Who is there
  Fronts and storage instances follow the store's list of storage instances.
  One that lags keeps turns and opens accounts elsewhere than the others.

  Scenario: A waiting watch goes silent
    Its connection stays open, but nothing comes any more. Whoever is asked for
    a sign of life has heard of the change.

    Given the list of storage instances is followed by a watch that goes silent
    When "new" registers
    And a storage instance that has heard of it answers every 0.2 seconds
    Then "new" is known after 0.5 seconds
    And the store was asked once for it

  Scenario: A waiting watch goes silent and nobody tells
    Given the list of storage instances is followed by a watch that goes silent
    When "new" registers
    Then "new" is not known after 0.5 seconds
    And "new" is known after 12 seconds

  Scenario: A watch tells of a change itself
    Others that hear of it some milliseconds sooner cause no call to the store.

    Given the list of storage instances is followed by a watch
    When "new" registers
    And a storage instance that has heard of it answers every 0.2 seconds
    Then "new" is known after 0.5 seconds
    And the store was not asked for it

  Scenario: The store answers others only
    This instance can't read the change. It goes on asking, but not with each
    answer that it hears.

    Given the list of storage instances is followed by a watch that goes silent
    When "new" registers
    And the store does not answer this instance any more
    And a storage instance that has heard of it answers every 0.2 seconds
    Then "new" is not known after 5 seconds
    And the store was asked at most 9 times for it

  Scenario: Signs of life and the news that storage instances fetch tell of it
    Given storage instances "a, b, c"
    When "d" registers and only "a" hears of it
    Then a front beside "b" that asks "a" for a sign of life knows "d"
    And "c", which follows the others, knows "d"
