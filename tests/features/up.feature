Feature: The system to look around in
  "make up" starts everything on fixed addresses and leaves nothing behind.

  Scenario Outline: Start, use, end
    When "make up" is started
    Then it prints the addresses that docs/API.md uses
    And every instance and stand-in that it prints answers
    And a fault that is set by curl shows
    When it is ended with <signal>
    Then it exits with 0, and none of its processes and files is left

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |

  Scenario: Ended while it starts
    A user changes their mind in the first second. Processes that are left
    would hold the addresses, and the next start would fail.

    When "make up" is started without waiting
    And it is ended with SIGTERM
    Then it exits with 0, and none of its processes and files is left

  Scenario: Ended while it starts a process
    The signal comes when the process is there and nobody has noted it yet. It
    was left running, and held its address.

    When "make up" is ended in the middle of starting a process
    Then it exits with 0, and none of its processes and files is left

  Scenario: Started twice
    When "make up" is started
    And "make up" is started a second time
    Then the second one exits with 1 and asks whether another is running
    When it is ended with SIGTERM
    Then it exits with 0, and none of its processes and files is left
