Feature: Requests that crash the engines which run them
  A caller sends a request again each time it fails. Each try would cost an
  engine and what the others had in flight there.

  Scenario: A poisoned request is sent again and again
    Some text makes the engine's process die. The caller's library tries
    again, through whichever instance the balancer gives it.

    Given engines that a marked request crashes
    When the marked request is sent 6 times through different instances
    Then it is refused as "quarantined", at first with "unknown", then "no"
    And 2 engines were lost
    When the engines are started again
    Then all other calls are answered

  Scenario: Another conversation, the same new messages
    The caller begins the program anew. Its earlier turns get other answers,
    so that the conversation as a whole is another one.

    Given engines that a marked request crashes
    When a program gets to a marked turn 2 times, each time anew
    Then it is refused as "quarantined", at first with "unknown", then "no"
    And 2 engines were lost

  Scenario: Innocent calls beside a poisoned one
    Twelve other calls are in flight where the engine dies. They must be
    answered, and nobody may refuse them later.

    Given engines that a marked request crashes
    When the marked request is sent while 12 others are in flight
    Then all other calls were answered
    And 2 engines were lost
    When the engines are started again
    Then the same other calls are answered again

  Scenario: A failure domain loses its engines
    Power fails in a hall. If all that was in flight were suspected of it,
    thousands of calls would run one by one when the others have least room.

    Given engines that a marked request crashes
    When the first failure domain loses its engines with 12 in flight
    Then all other calls were answered
    And no call is suspected

  Scenario: A plain service that a marked body crashes
    A booking form with a broken attachment ends the service's process. The
    first time it is a query, then a deposit under ever new keys.

    Given engines that a marked request crashes
    And plain services that a marked body crashes
    When a marked query is sent 3 times through different instances
    Then it is refused as "quarantined", at first with "unknown", then "no"
    And 2 services were lost
    When a marked deposit is sent under ever new keys until it is quarantined
    Then it had run 2 times, and each other send was refused as not run
    And 4 services were lost

  Scenario: An instance that did not see the crashes
    The instance that saw the crashes is replaced. Its successor knows
    nothing by itself.

    Given engines that a marked request crashes
    When the marked request is sent 1 time through different instances
    And the instance that it was sent through is killed and started again
    Then the new instance comes to refuse it as "quarantined"
    And 2 engines were lost

  Scenario: A crash by coincidence
    Engines die for other reasons as well. A long planning session that lost
    its engine once must not be refused after the second unlucky day.

    Given engines that a marked request crashes
    When a call loses its engine and is answered by another
    And the same call loses its engine again
    Then it is answered

  Scenario: Several suspects of one crash
    An engine dies with a poisoned call and innocent ones in flight. If two of
    them meet at the next engine, its crash tells nothing of either, and a
    third engine is lost before the poisoned one is refused.

    Then suspects of one crash run again one after the other, everywhere alike

  Scenario: Reports of crashes in any order
    Given any crashes and finished runs of requests
    Then instances that hear of them in any order agree on whom to refuse
    And of two that crashed together only the one that crashes alone is refused
    And a request that is finished between crashes is never refused
    And what is kept is bounded
