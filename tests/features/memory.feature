Feature: Engine memory pinned for programs
  An engine keeps a program's cache through a tool pause. No cache stays pinned
  for a program that has ended.

  Scenario Outline: A program ends
    Given engines that pin caches for programs, with fencing <fencing>
    When a program has a long turn
    Then an engine holds a pin for it
    When the program is ended
    Then no engine holds a pin

    Examples:
      | fencing |
      | off     |
      | on      |

  Scenario: A release request is lost
    The connection breaks during the release. Without a retry the engine would
    keep the cache of an ended program until it is restarted.

    Given engines that pin caches for programs, with fencing off
    When a program has a long turn
    Then an engine holds a pin for it
    When the next 2 releases are lost
    And the program is ended
    Then no engine holds a pin

  Scenario: No caller ends the program
    The caller crashed in a tool pause and will never use the program again.

    Given engines that pin caches for programs, with fencing off
    When a program of 3 seconds has a long turn
    Then no engine holds a pin
    And the program has ended

  Scenario Outline: The owner crashes, and the program ends at the next one
    Given engines that pin caches for programs, with fencing <fencing>
    When a program has a long turn
    Then an engine holds a pin for it
    When the program's owner is killed
    And the program is ended through another instance
    Then no engine holds a pin

    Examples:
      | fencing |
      | off     |
      | on      |

  Scenario Outline: A paused owner resumes
    It was paused in the middle of its work and still believes that it owns the
    program. Its pin requests now concern a program that has ended, or one that
    has another owner.

    Given engines that pin caches for programs, with fencing <fencing>
    When a program has a long turn
    And another program of the same owner has a long turn
    And the program's owner is paused until another takes over
    And the program is ended through another instance
    And the old owner resumes
    Then engines hold pins for the other program only
    When the other program is ended
    Then no engine holds a pin

    Examples:
      | fencing |
      | off     |
      | on      |

  Scenario: An unreachable owner
    The failure domain of the program's owner is cut off from the engine's. The
    program still lives; if its cache were released because its owner does not
    respond, all of it would have to be recomputed.

    Given engines that pin caches for programs, with fencing off
    When a program has a long turn
    Then an engine holds a pin for it
    When the owner's failure domain is cut off and pins are swept 3 times
    Then an engine holds a pin for it
    When the partition ends and the program is ended
    Then no engine holds a pin

  Scenario: A pause that lasts too long
    Given any pauses of a program
    Then a pin outlasts the usual pause and expires after a much longer one
    And a program whose pauses are long is not pinned
    And all pin requests together stay near the length of the conversation
