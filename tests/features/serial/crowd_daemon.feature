Feature: Crowds at the daemon's own interface
  Callers that the operators don't control send many bodies of legal size at
  once. A daemon that held all of them would outgrow its machine and be killed.

  Scenario: One body at the limit
    Given a daemon with bodies of up to 4194304 bytes
    Then one call of 4194304 bytes is answered by the daemon with 200
    And the daemon runs with less than 256 MB

  Scenario Outline: Many bodies
    Guards against a daemon that holds the bodies of all callers at once.

    Given a daemon with bodies of up to 4194304 bytes
    When the daemon gets <count> calls of 4000000 bytes in chunks of <chunk>, <end>
    Then an ordinary call of the daemon is answered
    And the daemon runs with less than 256 MB

    Examples: a length (chunk of 0), large and very small chunks
      | count | chunk | end                |
      | 90    | 0     | short of their end |
      | 90    | 0     | whole              |
      | 90    | 65536 | short of their end |
      | 90    | 65536 | whole              |
      | 90    | 8     | short of their end |

  Scenario: Many connections between instances
    Guards against connections that use up the descriptors of a daemon.

    Given a daemon with bodies of up to 4194304 bytes
    When 1600 connections to the daemon's port for instances send nothing
    Then an ordinary call of the daemon is answered
    And the daemon runs with less than 256 MB
    And the daemon has no more than 1400 sockets

  Scenario: Many handshakes between instances
    Guards against a daemon that holds what it gets from strangers, who don't
    have the key of its instances.

    Given a daemon with bodies of up to 4194304 bytes
    When 90 handshakes of 4000000 bytes stop short of their end at the daemon's port for instances
    Then an ordinary call of the daemon is answered
    And the daemon runs with less than 256 MB
