Feature: Placement of calls
  Each call goes to the endpoint where it is expected to finish first, according
  to measurements.

  Scenario: An endpoint becomes slow
    One of the endpoints becomes five times slower without reporting it.
    Programs that are sent there take several times as long as others.

    Given endpoints "slow" that take 1.0 s per call
    And endpoint "a" that takes 0.2 s per call
    And endpoint "b" that takes 0.2 s per call
    When 300 calls are made, 1 at a time
    Then endpoint "slow" ran less than a third as many calls as "a"

  Scenario: The naive scheduler sends a slow endpoint as many calls as others
    Given endpoints "a, b" that take 0.2 s per call, with the naive scheduler
    And endpoint "slow" that takes 1.0 s per call
    When 300 calls are made, 6 at a time
    Then endpoint "slow" ran as many calls as "a"

  Scenario: An endpoint that hangs gives no new measurement
    An endpoint stops making progress while its connections stay open. It gives
    no new measurement, and calls would be sent there until they time out.

    Given endpoints "a, b, c" that take 0.2 s per call
    When 60 calls are made, 3 at a time
    And endpoint "a" keeps one call for 30 s
    And 60 calls are made, 3 at a time
    Then endpoint "a" ran at most 2 of the last calls

  Scenario: A conversation stays where its prefix is cached
    Given endpoints "a, b, c, d" that take 0.2 s per call
    When a conversation of 20 turns runs beside other calls
    Then one endpoint ran all 20 turns

  Scenario: Waiting costs more than recomputing the cache
    A conversation's endpoint has a long queue. Waiting there for a cache that
    is quickly recomputed elsewhere would make it miss its target.

    Given endpoints "a, b" that take 0.2 s per call
    When a conversation's endpoint gets 40 other calls
    Then the conversation's next turn goes to the other endpoint

  Scenario: An engine has evicted prefixes that it is believed to hold
    Engines report evictions late or never. Calls would keep waiting for a cache
    that no longer exists.

    Then a prefix that an answer reports as not cached is discarded
    And so are all prefixes that were last used before it

  Scenario: Instances agree on a prefix's home without exchanging messages
    Then any two instances find the same homes for a prefix
    And when an endpoint is removed, only the prefixes at home there move
    And a ring updated step by step equals one built at once

  Scenario: The estimated cost is monotonic
    Then more load, less cache or a slower measurement never lowers the cost

  Scenario: An endpoint has no free slot for this instance
    An endpoint's limit has fallen to one call, which is in flight. If it
    counted as free, calls would wait for it while the other endpoint is idle.

    Given endpoints "a, b" that take 0.2 s per call
    When "a" is the faster endpoint but its only slot is taken
    Then the next call goes to "b" at once

  Scenario: A tight cache target raises the price of lost cache
    Then a smaller share of wasted cache never lowers the price of lost cache
    And a program at its target pays nothing for lost cache

  Scenario: A decision compares a bounded number of endpoints
    Given 6300 endpoints
    Then a decision compares at most 14 of them

  Scenario: Calls for models that no endpoint serves
    A caller's program sends misspelled or made-up model names for days. The
    instance must not keep state for each name.

    Given endpoints "a, b" that take 0.2 s per call
    When 1000 calls request models that no endpoint serves
    Then each is refused as "unknown_model" and no state is kept for them
