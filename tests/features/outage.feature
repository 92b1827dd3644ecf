Feature: Calls that are served during an outage
  Each row is a cell of the table in docs/design/state.md.

  Scenario Outline: <call> with the service <state>
    Callers are served during an outage of the key-value service. Calls that
    need it must be refused at once, with a Retry-After.

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

  Scenario: The owner's lease has expired and its peer is unresponsive
    The service is unavailable, and the owner's only peer has died, so the owner
    cannot determine whether it is partitioned from all others. It refuses calls
    as not run, and serves them again when the service responds.

    Given a system of three failure domains
    And a program whose first turn is stored
    When the service is away
    And the owner's peer dies and 1 lease time passes
    Then meanwhile a next turn gets ownership_lost
    When the key-value service responds again
    Then meanwhile a next turn gets 200 and no receipt

  Scenario: The owner's peer has not registered again before the next outage
    An outage outlasts all leases. The owner has registered again, its peer has
    not, when the service fails again and the peer becomes unresponsive. The
    owner has received its heartbeats, so it cannot determine whether it is
    itself partitioned: if it continued, callers would get two answers to one
    turn from two owners.

    Given a system of three failure domains
    And a program whose first turn is stored
    When the owner's peer loses its record and keeps running
    And the service is away
    And the owner's peer dies and 1 lease time passes
    Then meanwhile a next turn gets ownership_lost
    When the key-value service responds again
    Then meanwhile a next turn gets 200 and no receipt
