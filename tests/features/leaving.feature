Feature: Endpoints that leave, crash or hang
  The instance list lags. The first sign, whatever its source, closes an
  endpoint to new work on all instances; a stale sign does not reopen it.

  Scenario: An engine drains while the list still shows it as live
    An engine that is being replaced refuses new calls, while the list, which
    lags, shows it as live. Calls would be sent there repeatedly and fail.

    Given endpoints in three failure domains, and a list that lags
    When engine "engine-1" starts to drain
    And 24 calls are made through all instances
    Then all calls are answered
    And every instance shows "engine-1" as "leaving"
    When calls are made while the list is read repeatedly
    Then all calls are answered
    And "engine-1" received nothing of them

  Scenario: A draining engine is detected without a call, and returns
    No call is in progress when the engine starts to drain, so the next caller
    would be sent to it. When the replacement is cancelled, the engine must get
    work again.

    Given endpoints in three failure domains, and a list that lags
    When engine "engine-2" starts to drain
    Then every instance shows "engine-2" as "leaving"
    When engine "engine-2" stops draining
    Then every instance shows "engine-2" as "live"
    When 24 calls are made through all instances
    Then all calls are answered

  Scenario: The list shows an endpoint as leaving, or drops it
    Given endpoints in three failure domains, and a list that lags
    When the list shows "engine-3" as leaving
    Then every instance shows "engine-3" as "leaving"
    When the list drops "office-2"
    Then every instance shows "office-2" as "leaving"
    When 24 calls are made through all instances
    Then all calls are answered
    And "engine-3" received nothing of them
    When the list is restored
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
    Its batch makes no progress while its HTTP server is healthy. Callers would
    wait for a minute, and new calls would be sent there as well.

    Given endpoints in three failure domains, and a list that lags
    When engine "engine-1" hangs
    And 12 calls at once are made until one reaches engine "engine-1"
    Then all calls are answered
    And every instance of its domain shows "engine-1" as "down"
    When engine "engine-1" stops hanging
    Then every instance shows "engine-1" as "live"

  Scenario: An engine's process is frozen
    A stalled machine keeps its connections open and sends nothing.

    Given endpoints in three failure domains, and a list that lags
    When engine "engine-1" is frozen
    And 12 calls are made at once
    Then all calls are answered
    And every instance of its domain shows "engine-1" as "down"
    When engine "engine-1" resumes
    Then every instance shows "engine-1" as "live"

  Scenario: An engine crashes with calls in flight
    Given endpoints in three failure domains, and a list that lags
    When engine "engine-1" hangs
    And it is killed while 12 calls are made at once
    Then all calls are answered
    And every instance of its domain shows "engine-1" as "down"
    When engine "engine-1" is started again
    Then every instance shows "engine-1" as "live"

  Scenario: An endpoint that one failure domain cannot reach
    Two failure domains are partitioned from each other. An endpoint that one
    cannot reach must stay open to the other, which has no other engine nearby.

    Given endpoints in three failure domains, and a list that lags
    When "engine-1" is so slow that the second failure domain sends it nothing
    And "engine-1" is cut off from the second failure domain
    And 12 calls are made through the second failure domain
    Then all calls are answered
    And every instance of the second failure domain shows "engine-1" as "down"
    And no instance of its domain closed "engine-1" meanwhile

  Scenario: Signs arrive late, twice and out of order
    Given any notes about an endpoint
    Then instances that receive them in any order agree
    And a stale note changes nothing
    And an endpoint that keeps failing is tried less and less often
