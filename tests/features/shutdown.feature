Feature: A graceful shutdown cuts off no request
  An instance that is told to end hands its shards over, finishes what is under
  way and exits with 0.

  Background:
    Given a system for shutdowns

  Scenario Outline: An instance ends under load
    Operators replace an instance while callers stream through it, other
    instances forward to it, it forwards to others, and calls wait behind
    others of their program. A cut stream is a commentary that misses its
    release.

    Given the key-value service is <store>
    When streams and queued calls run through all instances
    And <ended> told to end
    Then every one of those calls is answered whole
    And what was told to end exits with 0

    Examples:
      | store | ended             |
      | up    | one instance is   |
      | up    | two instances are |
      | down  | one instance is   |

  Scenario: New requests during a shutdown
    The balancer has not noticed yet and goes on sending requests. Each is
    answered, or refused with a time to come back; none is just cut off.

    When a long stream keeps an instance that is told to end
    Then that instance says it is not ready
    And new calls through it are answered or told when to come back
    And every one of those calls is answered whole
    And what was told to end exits with 0

  Scenario: A long stream keeps its shard from its next owner
    The next owner is due when the stream has ended, which may take as long as
    a shutdown may. Callers of that shard each waited three leases for it, new
    programs that happened to be put there, too.

    When a long stream keeps an instance that is told to end
    Then calls of the stream's shard are told to come back while it runs
    And new programs are made through that instance while it runs
    And every one of those calls is answered whole
    And what was told to end exits with 0

  Scenario: A long stream in one shard
    An instance that ends has one long stream. The programs of its other
    shards go on elsewhere long before that stream has ended.

    When a long stream keeps an instance that is told to end
    Then programs of its other shards are answered while the stream runs
    And every one of those calls is answered whole
    And what was told to end exits with 0

  Scenario: An act outlives its caller and the shutdown
    A deposit is under way, its caller has gone, and the instance is told to
    end. The outcome must be kept, or the repeat is answered "unknown".

    When an act runs whose caller has gone
    And its owner is told to end
    Then what was told to end exits with 0
    And the act's repeat is answered with its outcome

  Scenario: A call that does not end
    A tool hangs for ever. The shutdown waits for the time it is given, says
    what it cuts off, and ends.

    When a service call hangs at an instance that is told to end
    Then what was told to end exits with 0
    And its log says what was cut off
