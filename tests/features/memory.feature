Feature: Engine memory of programs
  A program's cache is kept at its engine through a tool pause. None of it
  stays held for a program that has ended.

  Scenario Outline: A program ends
    Given engines that keep caches for programs, with fencing <fencing>
    When a program has a long turn
    Then an engine holds memory for it
    When the program is ended
    Then no engine holds memory

    Examples:
      | fencing |
      | off     |
      | on      |

  Scenario: The release is lost on the way
    The order to let go meets a broken connection. The engine would keep the
    cache of a finished commentary until it is restarted.

    Given engines that keep caches for programs, with fencing off
    When a program has a long turn
    Then an engine holds memory for it
    When the next 2 releases are lost
    And the program is ended
    Then no engine holds memory

  Scenario: Nobody ends the program
    The caller died in a tool pause. Nobody will ever ask for it again.

    Given engines that keep caches for programs, with fencing off
    When a program of 3 seconds has a long turn
    Then no engine holds memory
    And the program has ended

  Scenario Outline: The owner dies, and the program ends at the next one
    Given engines that keep caches for programs, with fencing <fencing>
    When a program has a long turn
    Then an engine holds memory for it
    When the program's owner is killed
    And the program is ended through another instance
    Then no engine holds memory

    Examples:
      | fencing |
      | off     |
      | on      |

  Scenario Outline: An old owner wakes up
    It was paused in the middle of its work and still believes that it owns
    the program. What it orders now is meant for a program that has ended, or
    for one that lives on elsewhere.

    Given engines that keep caches for programs, with fencing <fencing>
    When a program has a long turn
    And another program of the same owner has a long turn
    And the program's owner is paused until another takes over
    And the program is ended through another instance
    And the old owner wakes up
    Then engines hold memory for the other program only
    When the other program is ended
    Then no engine holds memory

    Examples:
      | fencing |
      | off     |
      | on      |

  Scenario: An owner that cannot be asked
    The failure domain of the program's owner is cut off from the engine's.
    Its program lives; if its cache were given up because nobody answers, all
    of it would be computed again.

    Given engines that keep caches for programs, with fencing off
    When a program has a long turn
    Then an engine holds memory for it
    When the owner's failure domain is cut off and pins are swept 3 times
    Then an engine holds memory for it
    When the cut ends and the program is ended
    Then no engine holds memory

  Scenario: A pause that lasts too long
    Given any pauses of a program
    Then a pin outlasts the usual pause and is dropped after a much longer one
    And a program whose pauses are long is not pinned
    And all pin orders together stay near the length of the conversation
