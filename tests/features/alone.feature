Feature: Tokens that an instance grants alone
  An instance that reaches no other one begins programs alone. The others set a
  part of the budget aside for each that may have done so. With parts for two,
  the smallest budgets hold no further turn.

  Scenario: No program gets more than its budget, whoever was lost when
    Guards against a program that is begun alone by two instances while the
    others set only one part aside.

    Then no sequence of faults among instances that follow each other lets a program use more than its budget and one turn

  Scenario: No program gets more than its budget while polls are slow
    Guards against losses that look as if they were apart, or at once, since an
    instance under load takes seconds to fetch what another one has.

    Then no sequence of faults among instances that fetch slowly lets a program use more than its budget and one turn

  Scenario: No program gets more than its budget while instances are upgraded
    Guards against one turn that is counted for an instance of an earlier
    version, which grants more, and against turns of several sizes.

    Then no sequence of faults and upgrades lets a program use more than its budget and one turn

  Scenario: What is set aside is enough whatever the size of turns
    Guards against a part for the turn that opens the account, where others were
    granted larger ones.

    Then what is set aside for up to 3 instances covers turns of any sizes

  Scenario Outline: A program begins <when> a disk is lost
    Guards against a program that is refused for good before its budget is
    spent: a part was set aside for an instance that had granted nothing, and
    nobody can tell.

    When a program of 8 turns begins <when> an instance loses its disk
    Then the program gets all of its 8 turns

    Examples:
      | when           |
      | while down and |
      | just after     |

  Scenario Outline: Two may have granted alone, and one has lost its disk
    Guards against a part for two that is refused for good, as one of them
    can't tell what it granted: callers allow it one turn.

    When two instances that granted <what> alone are away, one of which loses its disk
    Then the program gets at most <most> turns, and more than <least>

    Examples:
      | what        | most | least |
      | nothing     | 8    | 7     |
      | a turn each | 9    | 8     |

  Scenario Outline: An instance of an earlier version grants alone and <then>
    Guards against one turn that is counted for it: an earlier version grants a
    third of the budget.

    When an instance of an earlier version grants 3 turns of 8 alone and <then>
    Then the program gets at most 9 turns, and more than 6
    When the same happens and all count as granting one turn
    Then the program gets more than 9 turns

    Examples:
      | then                       |
      | is lost                    |
      | is upgraded, and is lost   |
      | is upgraded, and comes back |
      | loses its disk in between  |

  Scenario: Two instances are isolated one after the other, and both are gone
    Guards against the second one beginning programs alone: the others could
    not tell, and set one part aside.

    When two instances are isolated one after the other and both are gone
    Then the program uses no more than its budget and one turn
    When the same happens and the second one begins programs alone
    Then the program uses more than its budget and one turn

  Scenario: Three instances are isolated at once, and two are gone
    Guards against one part for both of those that began programs alone.

    When three instances are isolated at once and two are gone
    Then the program uses no more than its budget and one turn
    When the same happens and one part is set aside for both
    Then the program uses more than its budget and one turn

  Scenario Outline: Two instances are isolated, and <who> polls slowly
    Guards against times of newest replies that are taken for times of losses:
    the one that begins programs takes two losses for one, or the others take
    one for two, and set one part aside.

    When two instances are isolated while <who> is slow to fetch what <other> has
    Then the program uses no more than its budget and one turn
    When the same happens and newest replies count as times of losses
    Then the program uses more than its budget and one turn

    Examples:
      | who | other |
      | a   | c     |
      | c   | a     |

  Scenario: An instance whose requests are lost is isolated later
    Guards against an instance that begins programs alone though others still
    reach it: they see it lost later than it sees them, and set one part aside.

    When requests of one instance are lost, another one is isolated, and then the first one
    Then the program uses no more than its budget and one turn
    When the same happens and requests that it serves are not counted
    Then the program uses more than its budget and one turn

  Scenario: One of two instances that were isolated returns, and is lost again
    Guards against one part for both: what the first one granted alone before it
    returned lies further back than its newest reply.

    When one of two instances that were isolated at once returns and is lost again
    Then the program uses no more than its budget and one turn
    When the same happens and it does not tell that it has begun programs
    Then the program uses more than its budget and one turn

  Scenario Outline: An instance opens a program that it began on a lost disk
    Guards against a turn more than callers allow: nobody knows what it granted
    on that disk, and it grants alone again, or says that it granted nothing.

    When an instance begins a program of 8 turns alone, loses its disk, opens the account and <then>
    Then the program gets at most 9 turns, and more than 1

    Examples:
      | then              |
      | is cut off again  |
      | is to be emptied  |

  Scenario: An instance crashes just after one that was silent is back
    Guards against a disk that tells of a loss of long ago: after the restart,
    two that are lost at once seem to be lost at different times.

    When an instance crashes just after one that was silent has followed it
    Then it does not take that one for lost since then

  Scenario: A machine is lost, and another failure domain is cut off later
    Guards against programs that are refused although they have budget left: a
    part for each of the two leaves no turn of the smallest budgets.

    Given an instance that was lost 30 seconds before another one
    Then one of them may have begun a program alone
    And a program of 2 turns keeps at least 2 turns of its budget

  Scenario: An instance of an earlier version consents
    Guards against one part for two that were lost at once, in an upgrade of one
    instance after the other: the one that heard them last does not tell when.

    Given an instance that was lost 30 seconds before another one
    When one that consents does not tell when it lost them
    Then two of them may have begun a program alone

  Scenario: Another failure domain is cut off right after a machine is lost
    Guards against one part for two that may both have begun programs alone.

    Given an instance that was lost 3 seconds before another one
    Then two of them may have begun a program alone

  Scenario Outline: An instance that reaches no other one
    Guards against new programs that are begun by two instances alone, and
    against a failure domain that serves none although no other one does.

    Given an instance that last heard others <heard> seconds ago
    Then it <outcome> programs alone

    Examples:
      | heard                                                | outcome        |
      | 1 in east, 1.5 in west                               | begins         |
      | 1 in east, 30 in west                                | does not begin |
      | 1 in east, never                                     | does not begin |
      | never, never                                         | begins         |
      | 1 in east, 1 with lost disk in west                  | does not begin |
      | 1 in east, 1 with lost disk in east                  | begins         |
      | 1 in east, 30 in east                                | begins         |
      | 1 in east, 30 as reported                            | does not begin |
      | 30 as reported                                       | begins         |
      | 1 in east, 1 as a new machine with lost disk in west | begins         |
      | 1 in east, 1 as one that has begun others in west    | does not begin |
      | 1 in east, 1 as one that has begun others in east    | begins         |
      | 1 in east, 1 but not missed yet in west              | begins         |
      | 5 in east, 5 but not missed yet in west              | does not begin |
      | 5 in east, 5 but it asked 1 ago in west              | does not begin |

  Scenario: A new machine starts while the store is away
    Guards against a part of each new budget that is set aside for two minutes:
    the machine does not see its own registration, and would count as one that
    has lost its disk.

    Given storage instances "a, b, c"
    When "d" starts with an empty disk and its registration is not seen
    And "d" has followed the others
    Then "d" has recovered
    And nothing is set aside for "d" when "b" opens an account

  Scenario: A new machine is unreachable
    Guards against a part of each new budget that is set aside for a machine
    that has not been there long enough to grant anything alone.

    Given storage instances "a, b, c"
    When "d" starts with an empty disk and its registration is not seen
    And "d" has followed the others
    And "a" has followed the listed instances
    And "d" is killed
    Then a new program gets all of its budget at "a"

  Scenario: A storage instance of a large system is unreachable
    Guards against a part of each new budget that is set aside for an instance
    that can't have granted anything alone. If it loses its disk, the program
    would be refused for good before its budget is spent.

    Given storage instances "a, b, c, d, e, f"
    When "f" is killed
    Then a new program gets all of its budget at "a"

  Scenario: The instance that heard a lost machine last restarts
    Guards against two parts for machines that were lost at different times: the
    others only know from that instance when the first one was lost.

    When one machine is lost, its successor opens an account, and the instance that heard it last restarts
    Then the successor still knows how long ago the machine was lost

  Scenario: Disks are lost one after the other, and then all instances restart
    Guards against a part for each of the three, which leaves no turn: without
    what they knew before the restart, nobody can tell when each was lost.

    When three disks are lost 12 seconds apart and all instances restart
    Then a new program gets at least 3 of its 4 turns
