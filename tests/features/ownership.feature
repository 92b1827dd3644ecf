Feature: One owner of each shard
  Instances start, die, stall and leave; each shard has one owner that acts.

  Scenario: The answer to a takeover's write is lost
    The owner dies, and the taker's write takes effect without an answer. The
    shard must not be left to an instance that does not know it has it.

    Given a system of three failure domains
    And a program whose first turn is kept
    When answers to writes of "rm/live/shards" are lost 2 times
    And the owner dies
    And turn 2 "Shorter." is sent through a living instance
    Then the answer has status 200
    And exactly one instance owns the program

  Scenario: An instance is restarted under its name
    A process crashes and is started again at once, before its lease lapsed.
    It must not take what its predecessor had for its own without reading it.

    Given a system of three failure domains
    And a program whose first turn is kept
    When the owner dies and is started again at once
    And turn 2 "Shorter." is sent through a living instance
    Then the answer has status 200
    And every living instance shows turns 1, 2
    And exactly one instance owns the program

  Scenario: All instances of a domain are replaced at once
    Power fails in a failure domain. Its programs must be there again with
    the first instance that starts.

    Given a system of three failure domains
    And a program whose first turn is kept
    When all instances of failure domain 0 die and one is started again
    And turn 2 "Shorter." is sent through a living instance
    Then the answer has status 200
    And every living instance shows turns 1, 2

  Scenario: A renewal while writes are refused
    The service is over its rate and refuses writes. Leases must not lapse for
    that, or owners would change in the middle of an overload.

    Given a system of three failure domains
    And a program whose first turn is kept
    When the service refuses all writes but renewals for 3 lease times
    Then no instance has lost its lease

  Scenario: A taker is paused
    The owner dies; the instance that takes its shard over stalls half way, so
    that a third one takes it from there. The first must not come back as
    owner.

    Given a system of three failure domains with 3 instances each
    And a program whose first turn is kept
    When answers to writes of "rm/log/alba-east" are lost 9999 times
    And the owner dies
    And the taker is paused as soon as it has the shard
    And no answers are lost any more
    And turn 2 "Shorter." is sent through a living instance of another domain
    And the taker goes on
    Then the answer has status 200
    And every living instance shows turns 1, 2
    And exactly one instance owns the program

  Scenario: A shard moves to an instance that was started
    A new instance gets its share while turns are sent all the time. None may
    fail, and none may be lost on the way.

    Given a system of three failure domains with 3 instances each
    And programs in all shards of failure domain 0
    When an instance of failure domain 0 dies and its shards have moved
    And it is started again while turns are sent
    Then all turns were answered
    And each program shows all its turns

  Scenario: An owner leaves while a turn runs
    An instance is shut down. The turn it runs must come to its end, and its
    shards must be at others before it is gone.

    Given a system of three failure domains with 3 instances each
    And a program whose first turn is kept
    And the engine makes no progress
    When turn 2 "Shorter." is under way through another domain
    And the owner is told to stop
    And the engine goes on
    Then the call under way gets the kept answer of turn 2
    And the engine ran 1 more call
    And the old owner ends by itself
    And every living instance shows turns 1, 2

  Scenario: An instance starts while an owner is cut off from the service
    The owner alone cannot reach the service; its lease lapses there, and its
    peers still hear it, so it goes on. A new instance never saw its record.
    If it took the shard, two owners would serve the program.

    Given a system of three failure domains with 3 instances each
    And a program whose first turn is kept
    When an instance that does not own the program dies
    And the owner alone is cut off from the service until its record is gone
    And the instance that died is started again
    And 3 lease times pass
    Then exactly one instance owns the program
    And the old owner still owns the program

  Scenario: A lease after a pause
    An instance that was paused gets a new lease before it hears that it was
    replaced. If the service falls silent then, it must not go on.

    Given the lease of an instance that was paused and has a lease again
    When the service falls silent while peers are heard
    Then the instance does not hold its shards
    When the service is back and its ownership was confirmed
    Then the instance holds its shards

  Scenario Outline: A slow service that takes <share> of a lease
    Renewals that waited for one another would come too late, and the instance
    would stop and start again. Slower still, the service is as good as silent:
    the instance goes on as in an outage.

    Given the lease of an instance whose service takes <share> of its lease
    Then the instance holds its shards without a break for 3 lease times

    Examples:
      | share |
      | 0.6   |
      | 0.8   |
      | 1.2   |

  Scenario: Heartbeats while a link to a dead instance is full
    An instance died long ago and its link takes nothing any more. If the
    heartbeats to the living waited for it, this instance would be taken for
    dead while it serves.

    Given an instance whose link to a dead one is full
    When it sends a round of heartbeats
    Then the living ones get theirs although the full link still waits

  Scenario: The task that keeps an instance's shards fails
    Nobody would load, drop or take shards any more, while callers wait for an
    instance that keeps its lease. The process must end, so that another one
    starts.

    Given an instance whose view of the owners is impossible
    When it looks after its shards
    Then it says that an invariant is broken
