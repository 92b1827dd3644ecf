Feature: Logs on the users' platform
  On-call engineers have only logs and metrics. The page must document every
  log event and field, or they search for events that do not exist.

  Scenario: The page lists the log events of the code
    When docs/LOGS.md is compared with the code
    Then both have the same events
    And every field of the code is on the page

  Scenario: The rate of log lines is limited
    A fault that repeats itself writes the same line thousands of times. The
    processor is needed for callers, and errors and refusals must not drown in
    decisions.

    When 5000 decisions, 50 warnings and 50 refusals are logged in one second
    Then at most 600 decisions, all warnings and refusals, and a count of the dropped lines are written

  Scenario: A log reader that stops does not block the process
    When lines are logged to a pipe that nobody reads
    Then the process continues and counts the dropped lines
