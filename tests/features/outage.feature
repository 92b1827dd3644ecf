Feature: What is served when something is away
  Each row is a cell of the table in docs/design/state.md.

  Scenario Outline: <call> with the service <state>
    Callers go on through an outage of the key-value service, and must be told
    at once what cannot be done without it and when to come back.

    Given a system of three failure domains
    And a program whose first turn is stored
    When the service is <state>
    Then meanwhile <call> gets <result>

    Examples: History and order
      | state    | call          | result                    |
      | up       | a next turn   | 200 and no receipt        |
      | slow     | a next turn   | 200 and no receipt        |
      | very slow| a next turn   | 200 and a receipt         |
      | away     | a next turn   | 200 and a receipt         |
      | away     | a kept turn   | 200 and no receipt        |
      | away     | the history   | 200 and no receipt        |
      | cut off  | a next turn   | 200 and a receipt         |
      | over its rate | a next turn | 200 and a receipt       |

    Examples: Budget
      | state    | call                     | result            |
      | away     | a turn over the reserved | budget_unreserved |
      | cut off  | a turn over the reserved | budget_unreserved |
      | slow     | a turn over the reserved | 200 and no receipt |

    Examples: Programs, acts and configuration
      | state    | call              | result            |
      | away     | a new program     | store_unavailable |
      | away     | an act            | store_unavailable |
      | away     | a new configuration | store_unavailable |
      | away     | a call without a program | 200 and no receipt |
      | cut off  | an act            | store_unavailable |
      | slow     | an act            | 200 and no receipt |
      | slow     | a new program     | 201 and no receipt |

  Scenario: The owner's lease has lapsed and it is alone
    The service is away, and the owner's only peer has died: the owner cannot
    tell whether it is cut off from everybody. It refuses, says that nothing
    ran, and goes on when the service is back.

    Given a system of three failure domains
    And a program whose first turn is stored
    When the service is away
    And the owner's peer dies and 1 lease time passes
    Then meanwhile a next turn gets ownership_lost
    When the key-value service responds again
    Then meanwhile a next turn gets 200 and no receipt

  Scenario: The owner's peer has not registered again when the next outage comes
    An outage outlasts all leases. The owner has registered again, its peer
    has not, when the service goes away once more and the peer falls silent.
    The owner has heard it, so it cannot tell whether it is cut off by itself:
    if it went on, callers would get two answers to one turn from two owners.

    Given a system of three failure domains
    And a program whose first turn is stored
    When the owner's peer loses its record and lives on
    And the service is away
    And the owner's peer dies and 1 lease time passes
    Then meanwhile a next turn gets ownership_lost
    When the key-value service responds again
    Then meanwhile a next turn gets 200 and no receipt
