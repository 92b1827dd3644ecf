Feature: Endpoints that leave, die or hang
  The instance list lags. Whichever sign comes first keeps new work away, and
  all instances act on it; a stale sign does not bring an endpoint back.

  Scenario: An engine drains and the list still calls it live
    An engine is replaced. It refuses new calls while the list, which lags,
    shows it as live. Calls would go there again and again, each for nothing.

    Given endpoints in three failure domains, and a list that lags
    When engine "engine-1" begins to drain
    And 24 calls are made through all instances
    Then all calls are answered
    And every instance shows "engine-1" as "leaving"
    When calls are made while the list is read again and again
    Then all calls are answered
    And "engine-1" received nothing of them

  Scenario: An engine that drains is found without a call, and comes back
    Nobody has a call for the engine while it starts to drain; the first
    caller of the evening would be sent to it. Then the replacement is given
    up, and the engine must not stand idle for ever.

    Given endpoints in three failure domains, and a list that lags
    When engine "engine-2" begins to drain
    Then every instance shows "engine-2" as "leaving"
    When engine "engine-2" stops draining
    Then every instance shows "engine-2" as "live"
    When 24 calls are made through all instances
    Then all calls are answered

  Scenario: The list names an endpoint that leaves, or drops it
    Given endpoints in three failure domains, and a list that lags
    When the list shows "engine-3" as leaving
    Then every instance shows "engine-3" as "leaving"
    When the list drops "office-2"
    Then every instance shows "office-2" as "leaving"
    When 24 calls are made through all instances
    Then all calls are answered
    And "engine-3" received nothing of them
    When the list is as it was
    Then every instance shows "engine-3" as "live"
    And every instance shows "office-2" as "live"

  Scenario: Operators drain an engine
    Given endpoints in three failure domains, and a list that lags
    When operators drain "engine-2"
    Then every instance shows "engine-2" as "drained"
    When 24 calls are made through all instances
    Then all calls are answered
    And "engine-2" received nothing of them

  Scenario: An engine accepts calls and never answers
    Its batch stands still while its HTTP server is well. Callers would wait
    for a minute, and new calls would join them.

    Given endpoints in three failure domains, and a list that lags
    When engine "engine-1" hangs
    And 12 calls at once are made until one is at engine "engine-1"
    Then all calls are answered
    And every instance of its domain shows "engine-1" as "down"
    When engine "engine-1" moves again
    Then every instance shows "engine-1" as "live"

  Scenario: An engine's process is frozen
    A stalled machine keeps its connections open and says nothing.

    Given endpoints in three failure domains, and a list that lags
    When engine "engine-1" is frozen
    And 12 calls are made at once
    Then all calls are answered
    And every instance of its domain shows "engine-1" as "down"
    When engine "engine-1" thaws
    Then every instance shows "engine-1" as "live"

  Scenario: An engine dies with calls in flight
    Given endpoints in three failure domains, and a list that lags
    When engine "engine-1" hangs
    And it is killed while 12 calls are made at once
    Then all calls are answered
    And every instance of its domain shows "engine-1" as "down"
    When engine "engine-1" is started again
    Then every instance shows "engine-1" as "live"

  Scenario: An endpoint that one failure domain cannot reach
    The network between two failure domains is cut. What the one cannot reach
    must not be taken from the other, which has no other engine nearby.

    Given endpoints in three failure domains, and a list that lags
    When "engine-1" is so slow that the second failure domain sends it nothing
    And "engine-1" is cut off from the second failure domain
    And 12 calls are made through the second failure domain
    Then all calls are answered
    And every instance of the second failure domain shows "engine-1" as "down"
    And no instance of its domain saw "engine-1" closed meanwhile

  Scenario: Signs come late, twice and in another order
    Given any notes about an endpoint
    Then instances that hear them in any order agree
    And a stale note changes nothing
    And an endpoint that fails again and again is tried less and less
