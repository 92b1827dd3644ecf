Feature: All machines lose power on the users' platform

  Scenario: All machines lose power after an answer, and one disk is lost
    Guards against a turn that was answered whole and that no disk has
    afterwards.

    Given a system on the users' platform whose disks can lose power
    And 6 turns that "east" has answered
    When all machines lose power, and "west" its disk
    Then each turn that was answered whole is continued at "north" and never denied
