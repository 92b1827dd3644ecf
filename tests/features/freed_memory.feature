Feature: Memory of requests that end early
  The memory of a request counts as free once the request has ended. Errors that
  refer to its frames would hold it until the next search for cycles.

  Scenario Outline: A body that does not arrive whole
    Guards against bodies that are held after their memory was given back.

    When 300000 bytes of a body have been read by a <reader>, and <what>
    Then less than 100 KB of it are in memory

    Examples:
      | reader    | what                                 |
      | front end | others need the memory, as it stalls |
      | front end | its caller disconnects               |
      | daemon    | others need the memory, as it stalls |
      | daemon    | its caller disconnects               |

  Scenario: The caller leaves while the rest of a body is forwarded
    Guards against the beginning that is held with the connection's error.

    When the rest of a body of 300000 bytes breaks off while it is forwarded
    Then less than 100 KB of it are in memory
