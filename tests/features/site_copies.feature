Feature: Too few storage instances respond to keep a turn
  Guards against answers that end whole although one lost disk takes their turn
  away, and against turns that run although that is known before.

  Background:
    Given a system on the users' platform

  Scenario: Storage instances and the store do not respond to a front end
    Guards against turns that only one disk has, and that are denied once it is
    lost.

    Given a turn that "east" has answered
    When the storage instances of "west, north" are frozen
    And the store does not respond to "east"
    And next turns are sent to "east" until one is refused for "turn_unkept"
    Then none of them was answered whole
    And no endpoint received the one that was refused
    When the storage instances of "west, north" go on
    And the store responds again
    Then the next turn is finally answered with 200 at "west"

  Scenario: They do not respond while a turn runs
    Guards against a turn that looks complete although later turns may not find
    it.

    Given every engine has the fault "slow"
    When a turn is sent to "east", and those of "west, north" and the store do not respond until it ends
    Then the connection ends without a complete response

  Scenario: One disk and the store keep a turn, and the disk is lost
    Guards against turns that are refused although the store could keep them, and
    against their loss.

    Given a turn that "east" has answered
    When the storage instances of "west, north" are frozen
    And next turns are sent to "east" until one is kept by the store
    And the storage instance of "east" loses its disk
    And the storage instances of "west, north" go on
    Then the turn that the store has is continued at "west"
