Feature: Storage instances that are replaced by operators' order
  A decommissioned instance has a successor, which holds its accounts in its
  place. Programs go on, however many instances were replaced.

  Scenario: Two of three holders are replaced
    Guards against a program that is refused for good, since less than a
    majority of the holders of its account is left.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is replaced by "d" by order
    And "b" is replaced by "e" by order
    Then the program gets just the rest of its budget at "c"
    And the program gets at most one more turn at "c, d, e"

  Scenario: All holders are replaced, one of them twice
    Guards against a successor whose own successor does not hold what it held
    for others.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is replaced by "d" by order
    And "b" is replaced by "e" by order
    And "d" is replaced by "f" by order
    And "c" is replaced by "g" by order
    Then the program gets just the rest of its budget at "g"
    And the program gets at most one more turn at "e, f, g"

  Scenario: A front end has cached where an account is
    Guards against reservations that are sent to instances that are gone.

    Given storage instances "a, b, c"
    When a front end beside "c" has used half of the budget of a program
    And "a" is replaced by "d" by order
    And "b" is replaced by "e" by order
    And that front end hears of them
    Then that front end gets 2 further reservations

  Scenario: A successor loses its disk
    Guards against reservations that are gone with the disk of a successor,
    which does not know any more that it holds accounts for another instance.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is replaced by "d" by order
    And "d" loses its disk and recovers from the others
    And "b" is killed
    Then the program gets just the rest of its budget at "d"
    And the program gets at most one more turn at "c, d"

  Scenario: A successor restarts
    Guards against a successor that forgets over a restart what it holds.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is replaced by "d" by order
    And "c, d" are killed and restarted
    And "b" is killed
    Then the program gets just the rest of its budget at "d"

  Scenario: A program that was agreed on is opened after a replacement
    Guards against an account that nobody may open: its holders were agreed on
    with one that is gone.

    Given storage instances "a, b, c"
    When all have agreed that "a" opens an account
    And "a" is replaced by "d" by order
    And "b" is replaced by "e" by order
    Then a new program gets a reservation at "d"

  Scenario: A machine gets the name of one that was replaced
    Guards against two instances in the place of one holder.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is replaced by "d" by order
    And a new machine starts as "a"
    Then "a" records no reservation of the program
    And a new program gets a reservation at "a"
    And the program gets just the rest of its budget at "b"
    And the program gets at most one more turn at "a, b, c, d"

  Scenario: A decommissioned instance restarts before it is removed
    Guards against an instance that records reservations again after another
    one was asked to hold its accounts.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "d" joins the domain of "a"
    And "a" asks "d" to hold its accounts while the store is unreachable
    And "a" is killed and restarted
    Then "a" records no reservation of the program
    When "a" goes on with its order and is removed
    Then the program gets just the rest of its budget at "d"

  Scenario: The chosen successor is ordered to leave, too
    Guards against an order that never ends, and against accounts that are held
    by an instance that leaves.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "d" joins the domain of "a"
    And "d" is ordered to leave, of which "a" does not know
    And "a" is decommissioned and removed
    Then the program gets just the rest of its budget at "b"

  Scenario: No other instance is left than the other holders
    One of them takes a second place. It counts once, so both are needed.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is decommissioned and removed
    Then the program gets just the rest of its budget at "b"
    And the program gets no further turn while "b" or "c" is killed

  Scenario: An instance that may have granted alone is replaced
    Guards against a part of the budget that stays set aside for an instance
    that is gone.

    Given storage instances "a, b, c"
    When "c" is partitioned from "a, b" and the store is unreachable
    And a program has used half of its budget at "a"
    And all reach each other and are listed
    And they reach the store again
    And "c" is replaced by "d" by order
    Then the program gets just the rest of its budget at "b"

  Scenario Outline: An instance that has granted alone is replaced
    Guards against the same, and against a part that is granted twice.

    Given "<earlier>" of storage instances "a, b, c", a version that grants more than one turn alone
    When "c" is partitioned from "a, b" and the store is unreachable
    And the program gets its share at "c"
    And a program has used half of its budget at "a"
    And all reach each other and are listed
    And they reach the store again
    And "c" is replaced by "d" by order
    Then the program gets <count> further turn at "b"

    Examples:
      | earlier | count |
      | c       | 1     |
      | nobody  | 2     |

  Scenario Outline: An instance that began a program alone is replaced
    Guards against tokens that are granted twice, since nobody else knows of
    them when the account is opened.

    Given "<earlier>" of storage instances "a, b, c", a version that grants more than one turn alone
    When "c" is partitioned from "a, b" and the store is unreachable
    And the program gets its share at "c"
    And all reach each other and are listed
    And they reach the store again
    And "c" is replaced by "d" by order
    Then the program gets <count> further turns at "a"

    Examples:
      | earlier | count |
      | c       | 3     |
      | nobody  | 4     |

  Scenario: A successor loses its disk, with what its predecessor had granted
    Guards against tokens that are granted twice: only the successor could tell.

    When two instances begin a program alone, and one succeeds the other and loses its disk
    Then the program got at most its budget and one turn

  Scenario: Two instances began a program alone, and one of them is replaced
    Guards against tokens that are granted twice, since nobody else knows of
    them when the account is opened; and against a part that stays set aside.

    Given storage instances "a, b, c"
    When "c" is partitioned from "a, b" and the store is unreachable
    And "b" is partitioned from "a, c" and the store is unreachable
    And the program gets its share at "b"
    And the program gets its share at "c"
    And all reach each other and are listed
    And they reach the store again
    And "c" is replaced by "d" by order
    Then the program gets 2 further turns at "a"

  Scenario: No program exceeds its budget, however instances are replaced
    Then no sequence of replacements and faults lets a program use more than its budget and one turn

  Scenario Outline: A rule of successions that is broken on purpose
    Checks that a violation shows.

    Given storage instances "a, b, c"
    When the sequence that exposes "<mutation>" is run <how> it
    Then the program has used <much> than its budget and one turn

    Examples:
      | mutation                                          | how     | much    |
      | a successor before the old instance is closed     | without | no more |
      | a successor before the old instance is closed     | with    | more    |
      | a successor that lacks what the old instance held | without | no more |
      | a successor that lacks what the old instance held | with    | more    |
      | an instance that counts for each place it has     | without | no more |
      | an instance that counts for each place it has     | with    | more    |

  Scenario: Two machines have the names of those that they replaced, and a disk is lost
    Guards against an account with one holder: others with a name that has a
    successor are none.

    Given storage instances "a, b, c"
    When two of three instances are replaced by ones of the same names
    And a program uses its budget, and the third one loses its disk
    Then the program got at most its budget and one turn
