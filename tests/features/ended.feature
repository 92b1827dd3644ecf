Feature: What ended turns have used, once their front ends are gone
  A reservation counts in full until its use is known. If only the front end
  knew it, a front end that is killed after an answer would leave the program
  refused for good, although its budget holds the next turn.

  Scenario Outline: A front end is killed right after an answer
    Guards against a use that is lost with the front end's memory.

    Given storage instances "a, b, c"
    When a turn ends at "a" whose front end is killed at once
    Then the program gets just the rest of its budget from a new front end at "<name>"

    Examples:
      | name |
      | a    |
      | b    |
      | c    |

  Scenario Outline: All machines lose power after an answer, and one disk is lost
    Guards against a use that is not on disk when its turn is.

    Given storage instances "a, b, c" on disks that can lose power
    When a turn ends at "a" whose front end is killed at once
    And "<lost>" loses its disk, and all others lose power
    And all instances have followed each other
    Then the program gets just the rest of its budget from a new front end at "b"

    Examples:
      | lost |
      | a    |
      | b    |
      | c    |

  Scenario Outline: One holder is away from the reservation to the end of the turn
    Guards against a use that only the front end would tell the holder later.

    Given storage instances "a, b, c"
    When "<away>" is unreachable while a turn ends at "b" whose front end is killed at once
    Then the program gets just the rest of its budget from a new front end at "b"

    Examples:
      | away |
      | a    |
      | c    |

  Scenario: The instances that keep a turn do not hold its program's account
    Guards against a use that is known only where nobody asks for it, as the
    turns continue a chain of another program. Two of the three disks with a
    turn are lost besides.

    Given 11 storage instances in 3 failure domains, two of which may lose their disks at once
    When turns of 12 programs end whose front ends are killed at once
    Then some turns are kept by no holder of their program's account
    When all instances restart, and 2 that are no holders lose their disks
    And all instances have followed each other
    Then each program gets just the rest of its budget from a new front end

  Scenario: Storage instances of two versions
    Guards against a turn that an earlier version cannot read, or the other way
    round.

    Then an earlier version reads a turn with its use, and this one a turn without
