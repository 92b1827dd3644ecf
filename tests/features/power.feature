Feature: Storage instances lose power

  Scenario: All instances lose power once a turn was kept
    Guards against a turn that was answered whole and is unknown afterwards,
    since nothing had synced the name of the file that it is in.

    Given storage instances "a, b, c" on disks that can lose power
    When 3 turns of one program are kept
    And all of them lose power and restart
    Then "a, b, c" have not lost their disks
    And "a" finds the 3 turns

  Scenario: One disk is lost and all others lose power at the same moment
    Guards against a turn that the other copies had not on disk, either.

    Given storage instances "a, b, c" on disks that can lose power
    When 3 turns of one program are kept
    And "a" loses its disk, and all others lose power
    And "a" has followed the others
    Then "a" finds the 3 turns

  Scenario: The instances lose power in a later segment of the journal
    Guards against a later segment whose name was never synced.

    Given storage instances "a, b, c" on disks that can lose power
    When "a" keeps 18 MB of turns
    And 3 turns of one program are kept
    And all of them lose power and restart
    Then "a" finds the 3 turns

  Scenario: What a killed process had not synced is read again
    Guards against an instance that counts as one that has a turn, and loses it
    with the power.

    Given storage instances "a, b, c" on disks that can lose power
    When "a" is killed before it syncs a turn, and restarted
    Then "a" still has that turn after a power loss
