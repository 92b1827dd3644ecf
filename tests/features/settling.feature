Feature: Settling of turns along with the next turn
  Each turn of a program is reserved at all holders of its account, and so is
  the end of the turn before. Five holders got two messages for each turn.

  Scenario: The next turn reports the end of the last one
    Given storage instances "a, b, c"
    When a program runs 4 turns in a row through one front end
    Then each holder was sent one message for each turn but the last
    And all holders know the use of each ended turn within 1 second

  Scenario: A holder does not reply to the reservation that reports it
    Guards against a use that counts in full for good at that holder.

    Given storage instances "a, b, c"
    When a program runs 2 turns in a row while "c" is unreachable for the second
    Then all holders know the use of each ended turn within 2 seconds

  Scenario: All storage instances are killed after they were told of an end
    Guards against a use that counts in full for good, as no record that had to
    be on disk came after it.

    Given storage instances "a, b, c"
    When a program runs 2 turns in a row through one front end
    Then all holders know the use of each ended turn within 1 second
    When "a, b, c" are killed and restarted
    Then all holders know the use of each ended turn within 1 second

  Scenario: All storage instances are killed after they refused the next turn
    Guards against a use that counts in full for good, as it was told along with
    a reservation for which nothing is recorded.

    Given storage instances "a, b, c"
    When a program's turn that reports the end of the last one finds too little budget
    And "a, b, c" are killed and restarted
    Then all holders know the use of each ended turn within 1 second
