Feature: A graceful shutdown completes all requests
  An instance that is told to shut down transfers its shards, finishes the work
  in flight and exits with 0.

  Background:
    Given a system for shutdowns

  Scenario Outline: An instance shuts down under load
    Operators replace an instance while callers stream through it, other
    instances forward to it, it forwards to others, and calls are queued behind
    others of their program. An aborted stream is a commentary that misses its
    release.

    Given the key-value service is <store>
    When streams and queued calls run through all instances
    And <ended> told to shut down
    Then each of those calls gets a complete answer
    And each instance that was told to shut down exits with 0

    Examples:
      | store | ended             |
      | up    | one instance is   |
      | up    | two instances are |
      | down  | one instance is   |

  Scenario: New requests during a shutdown
    The load balancer has not yet seen the shutdown and still sends requests.
    Each is answered, or refused with a Retry-After; none is aborted.

    When an instance with a long stream is told to shut down
    Then that instance is not ready
    And new calls through it are answered or refused with a Retry-After
    And each of those calls gets a complete answer
    And each instance that was told to shut down exits with 0

  Scenario: A long stream delays the transfer of its shard
    The shard gets its next owner after the stream has ended, which may take as
    long as the whole shutdown. Each call of that shard waited three leases for
    it, and so did new programs that were placed there.

    When an instance with a long stream is told to shut down
    Then calls of the stream's shard get a Retry-After while it runs
    And new programs are created through that instance while it runs
    And each of those calls gets a complete answer
    And each instance that was told to shut down exits with 0

  Scenario: A long stream in one shard
    An instance that shuts down has one long stream. The programs of its other
    shards are served elsewhere long before that stream ends.

    When an instance with a long stream is told to shut down
    Then programs of its other shards are answered while the stream runs
    And each of those calls gets a complete answer
    And each instance that was told to shut down exits with 0

  Scenario: An act outlives its caller and the shutdown
    A deposit is in flight, its caller has disconnected, and the instance is
    told to shut down. The outcome must be stored, or the repeat is answered
    "unknown".

    When an act runs whose caller has disconnected
    And its owner is told to shut down
    Then each instance that was told to shut down exits with 0
    And the act's repeat is answered with its outcome

  Scenario: A call that does not end
    A tool hangs forever. The shutdown waits for its time limit, logs what it
    aborts, and ends.

    When an instance with a hanging service call is told to shut down
    Then each instance that was told to shut down exits with 0
    And its log reports what was aborted
