Feature: Order of a program's turns
  The calls of a program run in order, at one owner at a time.

  Scenario: The same turn is sent concurrently through two instances
    The caller's connection is slow and its library sends the turn again through
    another instance. The turn must not get two different answers or be charged
    twice.

    Given a system of three failure domains
    And a new program of failure domain 0
    And the engine makes no progress
    When turn 1 "Draft Leith." is running through another domain
    And turn 1 "Draft Leith." is also sent through instance 2
    And the engine continues
    Then the running call gets the stored answer of turn 1
    And the other call gets the stored answer of turn 1
    And the engine ran 1 more call
    And every running instance shows turns 1

  Scenario: A turn arrives while the previous one runs
    A program sends its next call without waiting for the answer. Run at once,
    it would be answered without the previous answer in its context.

    Given a system of three failure domains
    And a new program of failure domain 0
    And the engine makes no progress
    When turn 1 "Draft Leith." is running through another domain
    And turn 2 "Shorter." is also sent through instance 2
    And the engine continues
    Then the running call gets the stored answer of turn 1
    And the other call gets the stored answer of turn 2
    And every running instance shows turns 1, 2

  Scenario: The owner crashes between two turns
    The instance that owns a program is replaced. The next call must find the
    program in its last state.

    Given a system of three failure domains
    And a program whose first turn is stored
    When the owner is killed
    And turn 2 "Shorter." is sent through a running instance
    Then the answer has status 200
    And every running instance shows turns 1, 2

  Scenario: The owner crashes while a turn runs
    The caller waits for its answer and must get it from the next owner.

    Given a system of three failure domains
    And a program whose first turn is stored
    And the engine makes no progress
    When turn 2 "Shorter." is running through another domain
    And the owner is killed
    And the engine continues
    Then the running call gets the stored answer of turn 2
    And every running instance shows turns 1, 2

  Scenario: An owner is frozen past its lease with a turn in flight
    The machine stalls. Another instance takes over the program and runs the
    same turn. The old owner resumes with a new lease of its own and an engine
    that still works for it. If it returned that engine's answer, the caller
    would hold an answer that is not in the program's history.

    Given a system of three failure domains
    And a program whose first turn is stored
    And the engine makes no progress
    When turn 2 "Shorter." is running at the owner
    And the owner is paused until another instance owns the program
    And turn 2 "Shorter." is sent to the new owner
    And the old owner is resumed and has a lease again
    And the engine continues
    Then the running call gets the stored answer of turn 2
    And the other call gets the stored answer of turn 2
    And every running instance shows turns 1, 2
    And exactly one instance owns the program

  Scenario Outline: A failure domain is cut off <from>
    Callers inside the domain still reach its instances and engines. They are
    served throughout the partition, however long it lasts, and no turn is lost.

    Given a system of three failure domains
    And a program whose first turn is stored
    When failure domain 0 is cut off from <from>
    And 4 turns are sent over 2 lease times through its domain
    And all partitions end
    Then eventually every running instance shows turns 1, 2, 3, 4, 5
    And exactly one instance owns the program

    Examples:
      | from              |
      | the service       |
      | the other domains |
      | everything        |

  Scenario: A slow engine serves a call from another domain
    Instances of different domains exchange messages rarely. The instance that
    the caller reached must not mistake a slow engine for a crashed owner: it
    would send the turn again, or return an error for a turn that is kept.

    Given a system of three failure domains
    And a program whose first turn is stored
    And the engine is 200 times slower
    When turn 2 "Shorter." is running through another domain
    Then the running call gets the stored answer of turn 2
    And the engine ran 1 more call
