Feature: Logs stay short and whole
  A shard's log is written anew from what lives in it, and the rest deleted.

  Scenario: The owner dies at any step of a compaction
    A compaction writes, moves the log's start and deletes. Whatever it was
    doing when the owner died, with its last write done or not, the next owner
    must find every program as it was.

    Given a shard whose programs did what hypothesis thought of
    When its owner dies before or after any call of a compaction
    Then each next owner finds all that was kept

  Scenario: Turns go on while the log is compacted
    A compaction takes many writes, and turns are kept between them. None may
    be lost or stand twice, and what was reserved stays reserved.

    Given a shard whose programs did what hypothesis thought of
    When turns are kept between the calls of a compaction and the owner dies
    Then each next owner finds all that was kept

  Scenario: A log longer than one answer
    Read at once, a long log would be too much for one answer of the service.

    Given a shard with 137 segments
    Then a new owner finds them, reading at most 10 values at once
    And it reads no slot twice

  Scenario: A paused owner writes into a slot that was deleted
    It was replaced, its successor compacted the log, and the slot it was
    about to write does not exist any more: the write succeeds. Told that its
    turn is kept, the caller would miss it in the history.

    Given a shard with 25 segments
    When its owner is paused, a new owner compacts the log, and it goes on
    Then the old owner's turn is not told as kept

  Scenario: An owner that lost a slot which is gone
    The owner finds its slot taken, but its successor has deleted it before
    the owner can look. It must not ask for ever.

    Given a shard with 25 segments
    When its slot is taken and deleted before it can look
    Then the old owner knows that it was replaced

  Scenario: A taker is overtaken while it reads the log
    It stalls between any two calls, and another instance takes the shard and
    keeps a turn there. The first must not keep anything any more, wherever
    it was, and the turn must not be lost.

    Given a shard with 25 segments
    When a taker is overtaken before any of its calls
    Then it keeps nothing, and the other's turn is there

  Scenario: An outage longer than memory
    Turns wait in memory for a service that is away. An instance that took
    ever more would be killed, and its callers' programs with it.

    Given a shard with 25 segments
    When turns of a megabyte are kept while the service is away
    Then the log says that it is full before 40 megabytes wait

  Scenario: A log that cannot be right
    A value of a log was damaged. The shard must not take the instance and its
    other shards down, nor go on with half of its programs.

    Given a shard with 25 segments
    When one of its values is damaged
    Then a new owner is told that the log is broken and writes nothing

  Scenario: Programs that ended long ago
    Ended programs would fill memory and log for ever. A parent stays as long
    as a sub-agent of it runs.

    Given a shard with an ended program, one just ended, and an ended parent
    When what ended long ago is dropped and the log compacted
    Then a new owner finds the one just ended, the parent and its sub-agent
