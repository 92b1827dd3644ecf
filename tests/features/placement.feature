Feature: Where a call goes
  Each call goes where it should finish first, by what was measured.

  Scenario: A runner turns slow
    One of the runners gets five times slower and nobody says so. Programs
    that are sent there take several times as long as others.

    Given runners "slow" that take 1.0 s a call
    And runner "a" that takes 0.2 s a call
    And runner "b" that takes 0.2 s a call
    When 300 calls are made, 1 at a time
    Then runner "slow" ran under a third of what "a" ran

  Scenario: The naive version sends a slow runner as much as any
    Given runners "a, b" that take 0.2 s a call, before the naive version
    And runner "slow" that takes 1.0 s a call
    When 300 calls are made, 6 at a time
    Then runner "slow" ran as much as "a"

  Scenario: A runner that hangs finishes nothing that could be measured
    A runner stops making progress while its connections stay open. No new
    measurement tells of it, and calls would go there until they time out.

    Given runners "a, b, c" that take 0.2 s a call
    When 60 calls are made, 3 at a time
    And runner "a" keeps one call for 30 s
    And 60 calls are made, 3 at a time
    Then runner "a" ran at most 2 of the last calls

  Scenario: A conversation stays where its prefix is cached
    Given runners "a, b, c, d" that take 0.2 s a call
    When a conversation of 20 turns is held while others come and go
    Then one runner ran all 20 turns

  Scenario: Waiting costs more than the lost cache
    A conversation's runner has a long queue. It would miss its target if it
    waited there for the sake of a cache that is soon computed again.

    Given runners "a, b" that take 0.2 s a call
    When a conversation's runner gets 40 calls of others
    Then the conversation's next turn goes to the other runner

  Scenario: An engine has dropped what we believe it holds
    Engines say late or never that they dropped a prefix. Calls would go on
    to wait for a cache that is not there any more.

    Then what an answer says was not cached is not believed any longer
    And neither is anything that was last used before it

  Scenario: Instances agree on a prefix's home without a message
    Then any two instances find the same homes for a prefix
    And when a runner goes, only the prefixes at home there move
    And a ring that was changed step by step is the same as one made at once

  Scenario: More of anything bad never makes a runner look better
    Then more load, less cache or a slower measurement never lowers the cost

  Scenario: A runner has no place for us
    A runner's limit has fallen to one call and it has one. If it counted as
    free, calls would wait for it while the other one idles.

    Given runners "a, b" that take 0.2 s a call
    When "a" is the faster one but has its one place taken
    Then the next call goes to "b" at once

  Scenario: A tight cache target prices lost cache higher
    Then a smaller share of wasted cache never lowers the price of lost cache
    And a program at its target pays nothing for lost cache

  Scenario: A decision looks at a bounded number of runners
    Given 6300 runners
    Then a decision compares at most 14 of them

  Scenario: Calls for models that nobody serves
    A caller's program mistypes a model, or makes names up, for days. The
    instance must not keep something for each name.

    Given runners "a, b" that take 0.2 s a call
    When 1000 calls ask for models that nobody serves
    Then each is refused as "unknown_model", and nothing is kept of them
