Feature: Budgets while disks are lost one after the other
  A small system tolerates one lost disk at a time. What the instance had granted
  alone is lost with it, so a part of a budget can be set aside for good.

  Scenario Outline: Two disks are lost, with a stop of all <when>
    Guards against programs that are refused for good before their budget is
    spent: a part was set aside for two instances, and neither can tell.

    When all instances stop <when>, one loses its disk, and later another one
    Then a program that begins meanwhile gets all of its budget

    Examples:
      | when                    |
      | with the first          |
      | just before the first   |
      | between the two         |
      | with the second         |
      | with each               |

  Scenario: An instance that holds off begins a program alone
    Guards against a hold-off that others rely on and that is not kept: they set
    nothing aside for that instance, and another one had lost its disk before.

    When an instance loses its disk with what it granted alone, and another one is isolated
    Then the program gets no more than its budget and one turn
    When the same happens and the other one begins the program alone
    Then the program gets more than its budget and one turn

  Scenario: A hold-off ends while an instance is partitioned
    Guards against a program that is begun alone although its account is open:
    the others opened it without this instance while they relied on its hold-off.

    When the hold-off of an isolated instance ends and it restarts
    Then it begins no programs alone until it has followed the others

  Scenario Outline: An instance that succeeded an emptied one loses its disk
    Guards against a part for both that is set aside for good: only the lost
    disk could tell what either of them has granted alone.

    When an instance is emptied <when>, and <seconds> s later the one that succeeded it loses its disk
    Then a program that begins meanwhile gets all of its budget

    Examples:
      | when                | seconds |
      | soon after a start  | 1       |
      | soon after a start  | 140     |
      | long after a start  | 1       |
      | long after a start  | 140     |

  Scenario: A machine has the name of one that was emptied
    Guards against tokens that are granted twice: the emptied one had told that
    it grants nothing alone any more, and the new one may.

    When an emptied instance is gone, and another machine registers with its name
    Then the new one counts as one that may have granted alone, and the old one did not

  Scenario: An instance that has begun a program alone loses its disk
    Guards against a part for it that is set aside for good: another instance
    had lost its disk before, so two of them can't tell what they granted.

    When an instance begins a program alone while another one loses its disk, and later loses its own
    Then a program that begins meanwhile gets all of its budget

  Scenario: What an instance has granted alone is lost with its disk
    Guards against a program that gets more than its budget, as what it was
    granted by two instances alone is not known once one of them has no disk.

    When two instances begin a program alone, one loses its disk, and the other one is isolated
    Then the program gets no more than its budget and one turn
    When the same happens and nobody remembers what they have told
    Then the program gets more than its budget and one turn

  Scenario: A program begins while a machine is replaced
    Guards against a part for the new machine that is set aside for good: it is
    not known yet what it grants alone, and the other machine never tells.

    When a program begins just as a new machine takes the place of a lost one
    Then a program that begins meanwhile gets all of its budget

  Scenario: Two machines are lost for good, and a program began as the first was replaced
    Guards against a part for two machines that is set aside for good, though
    the second one was new and had granted nothing.

    When a program begins just as a new machine takes the place of a lost one, and that one is lost too
    Then a program that begins meanwhile gets all of its budget

  Scenario: No program gets more than its budget, with machines that don't come back
    Guards against a hold-off that ends too soon, or an instance that is left
    out of what is set aside, where lost machines are replaced by new ones.

    Then no sequence of stops, lost disks and replaced machines lets a program use more than its budget and one turn

  Scenario: No program is refused before its budget is spent, whatever stops when
    Guards against a part of a budget that is set aside for good, and against a
    budget that is exceeded since too little is set aside.

    Then no sequence of stops and lost disks takes from a program's budget, or adds more than one turn

  Scenario: No program is refused before its budget is spent, with partitions
    Guards against a part of a budget that is set aside for instances that
    granted tokens alone, and lost their disks one after the other.

    Then no sequence of stops, lost disks and partitions takes from a program's budget, or adds more than one turn
