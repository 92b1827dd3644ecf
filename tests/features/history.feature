Feature: History of programs
  A program's history is never lost and never mixed with another's.

  Scenario: The owner dies before its commit
    The key-value service is away, and callers are given receipts. Then the
    owner dies, and what only it knew is gone. The next owner knows nothing
    of the turns until the caller brings the receipts.

    Given a system of three failure domains
    And a program whose first turn is kept
    And no receipts so far
    When the key-value service falls silent
    And 3 turns are sent over 1 lease times through its domain
    And the owner dies
    And the key-value service answers again
    And turn 5 "Now the summary." is sent with the receipts
    Then the answer has status 200
    And every living instance shows turns 1, 2, 3, 4, 5

  Scenario: The owner dies while its commit is under way
    The write took effect, its answer was lost, and the owner dies before it
    can ask. The next owner must find the turn and give its answer.

    Given a system of three failure domains
    And a program whose first turn is kept
    When answers to writes of "rm/log" are lost 20 times
    And turn 2 "Shorter." is sent in the background through another domain
    And an answer was lost
    And the owner dies
    Then the call under way gets the kept answer of turn 2
    And every living instance shows turns 1, 2

  Scenario: The owner dies before its commit takes effect
    The service is slow and the owner dies before the write is done. Nobody
    was told the answer; the next owner runs the turn again.

    Given a system of three failure domains
    And a program whose first turn is kept
    When the key-value service takes 0.7 s for each call
    And turn 2 "Shorter." is sent in the background through another domain
    And the engine has finished it
    And the owner dies
    And the key-value service hurries again
    Then the call under way gets the kept answer of turn 2
    And every living instance shows turns 1, 2

  Scenario: The service is away for many turns and comes back
    Callers go on with receipts. When the service is back the owner files what
    it kept, and the history is whole even if the owner then dies.

    Given a system of three failure domains
    And a program whose first turn is kept
    And no receipts so far
    When the key-value service falls silent
    And 8 turns are sent over 2 lease times through its domain
    Then the caller has 8 receipts
    When the key-value service answers again
    And turn 10 "Back again." is sent through a living instance
    Then the answer has no receipt
    When the owner dies
    Then in the end every living instance shows turns 1, 2, 3, 4, 5, 6, 7, 8, 9, 10

  Scenario: Answers to commits are lost again and again
    Each commit takes effect and its answer is lost. Written again under
    another number, a turn would stand twice in the history.

    Given a system of three failure domains
    And a program whose first turn is kept
    And no receipts so far
    When answers to writes of "rm/log" are lost 6 times
    And 4 turns are sent over 1 lease times through its domain
    And the owner dies
    Then in the end every living instance shows turns 1, 2, 3, 4, 5

  Scenario: Two programs with the same words
    Two households ask the same. Each must keep its own history, and a receipt
    of one must not get into the other's.

    Given a system of three failure domains
    And a program whose first turn is kept
    And no receipts so far
    And a second program with the same first turn
    When the key-value service falls silent
    And 1 turns are sent over 1 lease times through its domain
    And turn 2 "Line 2." of the second program is sent with the receipts
    Then the answer has status 422
    And the refusal is "receipt_invalid" and "no"

  Scenario: Receipts that are not as they were given
    A caller's store was damaged, or somebody tries to change a history. The
    program must go on as it was kept and say what is wrong; whole receipts
    are taken, however often they are brought.

    Given a system of three failure domains
    And a program whose first turn is kept
    And no receipts so far
    When the key-value service falls silent
    And 3 turns are sent over 1 lease times through its domain
    And the owner dies
    And the key-value service answers again
    And turn 5 "Now the summary." is sent without the first receipt
    Then the answer has status 422
    And every living instance shows turns 1
    When turn 5 "Now the summary." is sent with an altered receipt
    Then the answer has status 422
    And the refusal is "receipt_invalid" and "no"
    And every living instance shows turns 1, 2
    When turn 5 "Now the summary." is sent with each receipt twice
    Then the answer has status 200
    And every living instance shows turns 1, 2, 3, 4, 5

  Scenario: A late segment of an owner that was replaced
    An owner's write was on its way when it was replaced, and it arrives after
    the new owner's first. Nobody was told that it was kept, so it must not
    count, and the new owner must not take it for a successor's.

    Given a system of three failure domains
    And a program whose first turn is kept
    When a segment of an older epoch with turn 2 stands in the next slot
    And turn 2 "Shorter." is sent through a living instance
    And the owner dies
    Then the other call's answer is not in the history
    And in the end every living instance shows turns 1, 2

  Scenario: A turn longer than a value of the service
    A reconciliation sends a document of more than a megabyte. The commit is
    refused for its size for ever, and with it every later one of the shard.

    Given a system of three failure domains
    And a program whose first turn is kept
    When turn 2 with 1500000 letters is sent through a living instance
    Then the answer has status 200
    And the answer has no receipt
    When the owner dies
    Then in the end every living instance shows turns 1, 2
