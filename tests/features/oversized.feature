Feature: Bodies without an end on the native path
  A process that reads them for as long as a call may take runs out of memory
  within a second or two.

  Scenario: The key-value service sends a body without an end
    Given a server whose bodies have no end
    When a key is read through a session that accepts 1 MB
    Then the key-value service counts as away, because of too many bytes of body
    And the server could send at most 32 MB

  Scenario: The largest body that is accepted
    Guards against a bound that refuses it.

    Given a server whose bodies have 1 MB
    When a key is read through a session that accepts 1 MB
    Then the read returns 1 MB

  Scenario: A call of the key-value service times out
    Guards against a reason that is empty in logs.

    Given a server that does not respond
    When a key is read through a session that accepts 1 MB
    Then the key-value service counts as away, because of "time-out"

  Scenario: The instance list has no end
    Given a server whose bodies have no end
    When the instance list is read
    Then no list is passed on
    And the server could send at most 64 MB

  Scenario: An engine's load report has no end
    Given a server whose bodies have no end
    When the load report of an engine is read
    Then no load report is recorded
    And the server could send at most 32 MB

  Scenario Outline: An engine sends <what> without an end
    Guards against an attempt that never ends, and takes a whole core from the
    calls beside it.

    Given an engine that sends <what> without an end
    When a chat of at most 4 MB is streamed from it
    Then the attempt is broken off, because of "<why>"
    And the server could send at most 32 MB
    And no more than 16 KB were parsed in a row

    Examples:
      | what                   | why                |
      | interim responses      | bytes of framing   |
      | chunks of one byte     | bytes of framing   |
      | chunks with extensions | bytes of framing   |
      | a chunk extension      | bytes of framing   |
      | comments               | event too large    |
      | empty events           | event too large    |
      | events                 | response too large |
      | one event              | event too large    |
