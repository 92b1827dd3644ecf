Feature: Quarantine of requests that crash engines
  A caller sends a request again each time it fails. Each try would cost an
  engine and all other calls in flight there.

  Scenario: A poisoned request is sent repeatedly
    Some text makes the engine's process crash. The caller's library retries
    through whichever instance the load balancer selects.

    Given engines that a marked request crashes
    When the marked request is sent 6 times through different instances
    Then it is refused as "quarantined", at first with "unknown", then "no"
    And 2 engines were lost
    When the engines are restarted
    Then all other calls are answered

  Scenario: Another conversation, the same new messages
    The caller restarts the program. Its earlier turns get other answers, so the
    conversation as a whole has another fingerprint.

    Given engines that a marked request crashes
    When 2 new programs each reach a marked turn
    Then it is refused as "quarantined", at first with "unknown", then "no"
    And 2 engines were lost

  Scenario: Innocent calls beside a poisoned one
    Twelve other calls are in flight when the engine crashes. They must be
    answered, and none may be refused later.

    Given engines that a marked request crashes
    When the marked request is sent while 12 others are in flight
    Then all other calls were answered
    And 2 engines were lost
    When the engines are restarted
    Then the same other calls are answered again

  Scenario: A failure domain loses its engines
    A power failure takes down a failure domain. If all calls in flight there
    became suspects, thousands of calls would be retried one by one just when
    the others have the least capacity.

    Given engines that a marked request crashes
    When the first failure domain loses its engines with 12 in flight
    Then all other calls were answered
    And no call is suspected

  Scenario: A plain service that a marked body crashes
    A request with a broken attachment crashes the service. It is sent first as
    a query, then as a deposit, each time under a new idempotency key.

    Given engines that a marked request crashes
    And plain services that a marked body crashes
    When a marked query is sent 3 times through different instances
    Then it is refused as "quarantined", at first with "unknown", then "no"
    And 2 services were lost
    When a marked deposit is sent under new keys until it is quarantined
    Then it had run 2 times, and all other attempts were refused as not run
    And 4 services were lost

  Scenario: An instance that did not see the crashes
    The instance that saw the crashes is replaced, and its successor starts
    without any record of them.

    Given engines that a marked request crashes
    When the marked request is sent 1 time through different instances
    And the instance that it was sent through is killed and started again
    Then the new instance refuses it as "quarantined"
    And 2 engines were lost

  Scenario: A crash by coincidence
    Engines crash for other reasons, too. A long session that lost its engine
    once must not be refused after a second, unrelated crash.

    Given engines that a marked request crashes
    When a call loses its engine and is answered by another
    And the same call loses its engine again
    Then it is answered

  Scenario: Several suspects of one crash
    An engine crashes with a poisoned call and innocent ones in flight. If two
    of them are retried on the same engine, its crash does not show which is the
    cause, and a third engine is lost before the poisoned call is refused.

    Then all instances retry the suspects of a crash in the same order

  Scenario: Crash reports in any order
    Given any crashes and finished runs of requests
    Then instances that receive them in any order refuse the same requests
    And of two suspects only the one that crashes an engine alone is refused
    And a request that completes between crashes is never refused
    And the number of suspects is bounded
