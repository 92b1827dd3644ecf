Feature: One owner of each shard
  Instances start, crash, pause and shut down; only one instance serves a
  shard as its owner.

  Scenario: The response to a takeover's write is lost
    The owner crashes, and the write of the instance that takes over takes
    effect without a response. The shard must not be left to an instance that
    does not know that it owns it.

    Given a system of three failure domains
    And a program whose first turn is stored
    When responses to writes of "rm/live/shards" are lost 2 times
    And the owner is killed
    And turn 2 "Shorter." is sent through a running instance
    Then the answer has status 200
    And exactly one instance owns the program

  Scenario: An instance is restarted under its name
    A process crashes and is restarted at once, before its lease has expired.
    It must not serve its predecessor's shards without loading them.

    Given a system of three failure domains
    And a program whose first turn is stored
    When the owner is killed and restarted at once
    And turn 2 "Shorter." is sent through a running instance
    Then the answer has status 200
    And every running instance shows turns 1, 2
    And exactly one instance owns the program

  Scenario: All instances of a domain are replaced at once
    A power failure stops a failure domain. Its programs must be available
    again with the first instance that starts.

    Given a system of three failure domains
    And a program whose first turn is stored
    When all instances of failure domain 0 are killed and one is restarted
    And turn 2 "Shorter." is sent through a running instance
    Then the answer has status 200
    And every running instance shows turns 1, 2

  Scenario: Leases are renewed while writes are refused
    The key-value service is over its rate limit and refuses writes. Leases
    must not expire, or owners would change in the middle of an overload.

    Given a system of three failure domains
    And a program whose first turn is stored
    When the service refuses all writes but renewals for 3 lease times
    Then no instance has lost its lease

  Scenario: An instance is paused during a takeover
    The owner crashes. The instance that takes its shard over is paused before
    it has loaded it, and a third instance takes the shard from it. The paused
    one must not become the owner again when it is resumed.

    Given a system of three failure domains with 3 instances each
    And a program whose first turn is stored
    When responses to writes of "rm/log/alba-east" are lost 9999 times
    And the owner is killed
    And the next owner is paused as soon as it has claimed the shard
    And no responses are lost any more
    And turn 2 "Shorter." is sent through a running instance of another domain
    And the paused instance is resumed
    Then the answer has status 200
    And every running instance shows turns 1, 2
    And exactly one instance owns the program

  Scenario: A shard moves to an instance that was started
    A new instance gets its share of the shards while turns are sent. No turn
    may fail or be lost during the move.

    Given a system of three failure domains with 3 instances each
    And programs in all shards of failure domain 0
    When an instance of failure domain 0 is killed and its shards have moved
    And it is restarted while turns are sent
    Then all turns were answered
    And each program shows all its turns

  Scenario: An owner shuts down while a turn runs
    An instance is shut down. Its running turn must finish, and its shards
    must have other owners before the process ends.

    Given a system of three failure domains with 3 instances each
    And a program whose first turn is stored
    And the engine makes no progress
    When turn 2 "Shorter." is running through another domain
    And the owner is shut down
    And the engine continues
    Then the running call gets the stored answer of turn 2
    And the engine ran 1 more call
    And the old owner exits by itself
    And every running instance shows turns 1, 2

  Scenario: An instance starts while an owner is cut off from the service
    Only the owner cannot reach the key-value service. Its lease expires
    there, but its peers still receive its heartbeats, so it continues to
    serve. A new instance never read its record; if it took the shard, two
    owners would serve the program.

    Given a system of three failure domains with 3 instances each
    And a program whose first turn is stored
    When an instance that does not own the program is killed
    And the owner alone is cut off from the service until its record is gone
    And the killed instance is restarted
    And 3 lease times pass
    Then exactly one instance owns the program
    And the old owner still owns the program

  Scenario: A new lease after a pause
    An instance that was paused gets a new lease before it learns that it was
    replaced. If the key-value service becomes unavailable then, the instance
    must not continue to serve.

    Given the lease of an instance that was paused and has a new lease
    When the service becomes unavailable while heartbeats arrive
    Then the instance does not hold its shards
    When the service is available and its ownership was confirmed
    Then the instance holds its shards

  Scenario Outline: A slow service that takes <share> of a lease
    If renewals waited for one another, they would be too late, and the
    instance would stop and start to serve again and again. A slower service
    counts as unavailable: the instance continues as in an outage.

    Given the lease of an instance whose service takes <share> of its lease
    Then the instance holds its shards without a break for 3 lease times

    Examples:
      | share |
      | 0.6   |
      | 0.8   |
      | 1.2   |

  Scenario: Heartbeats while the link to a dead instance is full
    An instance died long ago, and its link accepts no more messages. If the
    heartbeats to live instances waited for that link, this instance would be
    considered dead while it serves.

    Given an instance whose link to a dead instance is full
    When it sends a round of heartbeats
    Then the live instances get theirs while the full link still waits

  Scenario: The task that reconciles an instance's shards fails
    Nothing would load, drop or claim shards any more, while callers wait for
    an instance that keeps its lease. The process must end, so that it is
    restarted or replaced.

    Given an instance whose view of the owners is invalid
    When it reconciles its shards
    Then it reports a broken invariant
