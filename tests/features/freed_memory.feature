Feature: Memory of requests that end early
  The memory of a request counts as free once the request has ended. Errors that
  refer to its frames would hold it until the next search for cycles.

  Scenario Outline: The body of a turn that does not arrive whole
    Guards against bodies that are held after their memory was given back.

    When 300000 bytes of a body have been read, and <what>
    Then less than 100 KB of it are in memory

    Examples:
      | what                                  |
      | others need the memory, as it stalls  |
      | its caller disconnects                |

  Scenario: The caller leaves while the rest of a body is forwarded
    Guards against the beginning that is held with the connection's error.

    When the rest of a body of 300000 bytes breaks off while it is forwarded
    Then less than 100 KB of it are in memory
