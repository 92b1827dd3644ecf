Feature: History of programs
  A program's history is never lost and never mixed with another's.

  Scenario: The owner crashes before its commit
    The key-value service is unavailable, and callers get receipts. Then the
    owner crashes, and the turns that only it stored are lost. The next owner
    does not know them until the caller sends the receipts.

    Given a system of three failure domains
    And a program whose first turn is stored
    And no receipts so far
    When the key-value service stops responding
    And 3 turns are sent over 1 lease times through its domain
    And the owner is killed
    And the key-value service responds again
    And turn 5 "Now the summary." is sent with the receipts
    Then the answer has status 200
    And every running instance shows turns 1, 2, 3, 4, 5

  Scenario: The owner crashes during its commit
    The write took effect, its response was lost, and the owner crashes before
    it can read the result. The next owner must find the turn and return its
    answer.

    Given a system of three failure domains
    And a program whose first turn is stored
    When responses to writes of "rm/log" are lost 20 times
    And turn 2 "Shorter." is sent in the background through another domain
    And a response was lost
    And the owner is killed
    Then the running call gets the stored answer of turn 2
    And every running instance shows turns 1, 2

  Scenario: The owner crashes before its commit takes effect
    The key-value service is slow, and the owner crashes before the write is
    done. Nobody received the answer; the next owner runs the turn again.

    Given a system of three failure domains
    And a program whose first turn is stored
    When the key-value service takes 0.7 s for each call
    And turn 2 "Shorter." is sent in the background through another domain
    And the engine has finished it
    And the owner is killed
    And the key-value service is no longer slow
    Then the running call gets the stored answer of turn 2
    And every running instance shows turns 1, 2

  Scenario: The service is unavailable for many turns and returns
    Callers continue with receipts. When the service is available again, the
    owner commits the turns that it holds, and the history is complete even if
    the owner crashes afterwards.

    Given a system of three failure domains
    And a program whose first turn is stored
    And no receipts so far
    When the key-value service stops responding
    And 8 turns are sent over 2 lease times through its domain
    Then the caller has 8 receipts
    When the key-value service responds again
    And turn 10 "Back again." is sent through a running instance
    Then the answer has no receipt
    When the owner is killed
    Then eventually every running instance shows turns 1, 2, 3, 4, 5, 6, 7, 8, 9, 10

  Scenario: Responses to commits are lost repeatedly
    Each commit takes effect and its response is lost. If it were written
    again to another slot, a turn would be in the history twice.

    Given a system of three failure domains
    And a program whose first turn is stored
    And no receipts so far
    When responses to writes of "rm/log" are lost 6 times
    And 4 turns are sent over 1 lease times through its domain
    And the owner is killed
    Then eventually every running instance shows turns 1, 2, 3, 4, 5

  Scenario: Two programs with the same messages
    Two customers send the same messages. Each program must keep its own
    history, and a receipt of one must not be accepted for the other.

    Given a system of three failure domains
    And a program whose first turn is stored
    And no receipts so far
    And a second program with the same first turn
    When the key-value service stops responding
    And 1 turns are sent over 1 lease times through its domain
    And turn 2 "Line 2." of the second program is sent with the receipts
    Then the answer has status 422
    And the refusal is "receipt_invalid" and "no"

  Scenario: Missing, altered and duplicate receipts
    A caller's storage was damaged, or somebody tries to change a history. The
    program must keep its stored history and report the error; valid receipts
    are accepted, however often they are sent.

    Given a system of three failure domains
    And a program whose first turn is stored
    And no receipts so far
    When the key-value service stops responding
    And 3 turns are sent over 1 lease times through its domain
    And the owner is killed
    And the key-value service responds again
    And turn 5 "Now the summary." is sent without the first receipt
    Then the answer has status 422
    And every running instance shows turns 1
    When turn 5 "Now the summary." is sent with an altered receipt
    Then the answer has status 422
    And the refusal is "receipt_invalid" and "no"
    And every running instance shows turns 1, 2
    When turn 5 "Now the summary." is sent with each receipt twice
    Then the answer has status 200
    And every running instance shows turns 1, 2, 3, 4, 5

  Scenario: A late segment of a replaced owner
    An owner's write was in flight when the owner was replaced, and arrives
    after the new owner's first write. No caller was told that it is stored,
    so it must not count, and the new owner must not take it for a write of
    its successor.

    Given a system of three failure domains
    And a program whose first turn is stored
    When a segment of an older epoch with turn 2 is in the next slot
    And turn 2 "Shorter." is sent through a running instance
    And the owner is killed
    Then the late segment's answer is not in the history
    And eventually every running instance shows turns 1, 2

  Scenario: A turn that is larger than a value of the service
    A turn has a document of more than a megabyte. Its commit is refused for
    its size each time, and would block all later commits of the shard.

    Given a system of three failure domains
    And a program whose first turn is stored
    When turn 2 with 1500000 characters is sent through a running instance
    Then the answer has status 200
    And the answer has no receipt
    When the owner is killed
    Then eventually every running instance shows turns 1, 2
