Feature: Too few storage instances respond to keep a turn
  Guards against answers that end whole although one lost disk takes their turn
  away, and against turns that run although that is known before.

  Background:
    Given a system on the users' platform

  Scenario: All storage instances of the other failure domains are frozen, and the disk here is lost
    Guards against turns that only one disk has: they are denied once it is
    lost, or never run again.

    Given a turn that "east" has answered
    When the storage instances of "west, north" are frozen
    And next turns are sent to "east" until one is refused for "turn_unkept"
    Then none of them was answered whole
    And no endpoint received the one that was refused
    When the storage instance of "east" loses its disk
    And the storage instances of "west, north" go on
    Then each turn that was answered whole is continued at "west" and never denied

  Scenario: They are frozen while a turn runs
    Guards against a turn that looks complete although later turns may not find
    it.

    Given every engine has the fault "slow"
    When a turn is sent to "east", and those of "west, north" are frozen until it ends
    Then the connection ends without a complete response

  Scenario: Turns are sent while they are frozen, and the disk here is lost
    Guards against a turn that was answered whole and is denied afterwards, or
    never runs again.

    Given a turn that "east" has answered
    When the storage instances of "west, north" are frozen
    And 6 next turns are sent to "east"
    And the storage instance of "east" loses its disk
    And the storage instances of "west, north" go on
    Then each turn that was answered whole is continued at "west" and never denied
