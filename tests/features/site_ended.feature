Feature: Programs go on after a fault right after an answer
  Budgets hold two turns at their most, and each turn uses less. A turn whose
  use nobody can tell any more counts in full, and the next one is refused with
  402 for good.

  Background:
    Given a system on the users' platform whose disks can lose power
    And 4 programs whose second turn "east" has answered just now

  Scenario: All front ends are killed
    Guards against uses that only front ends knew.

    When all front ends are killed and restarted
    Then the next turn of each program runs at "west"

  Scenario: The front end that answered is killed
    When the front end of "east" is killed
    Then the next turn of each program runs at "north"

  Scenario: All machines lose power, and one its disk
    Guards against uses that were not on disk when their turns were.

    When all machines lose power, and "west" its disk
    Then the next turn of each program runs at "north"
