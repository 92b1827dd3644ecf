Feature: Callers that read slowly
  What a caller does not read is held in the memory of its front end. If it were
  not bounded, a few hundred such callers would end the process, and with it the
  requests of all others. Until the deadline, a slow caller is served like any
  other.

  Scenario Outline: A caller reads nothing of its <kind>
    The response would go on to fill the front end's memory, and the endpoint's
    slot would stay in use. At its deadline the caller is cut off; it must not
    take what it has for a whole response.

    Given a front end
    When a caller asks for "<path>" with a deadline of 1500 ms and reads nothing
    Then it is cut off as "deadline"
    And at most <bound> bytes were held for it at any time
    And no request, slot or endpoint connection is in use
    And the response of the caller is incomplete

    Examples:
      | kind                          | path            | bound  |
      | stream                        | /stream/4000000 | 65536  |
      | long response                 | /plain/4000000  | 327680 |
      | response that was received    | /plain/250000   | 327680 |

  Scenario Outline: A caller reads its <kind> late
    Its deadline is not over. If it were cut off early, it would ask again, and
    the work of the endpoint would be lost.

    Given a front end
    When a caller asks for "<path>" with a deadline of 60000 ms and reads nothing
    And no byte moves any more
    And the caller reads on
    Then it gets a whole response of <size> bytes
    And nobody is cut off

    Examples:
      | kind          | path            | size    |
      | stream        | /stream/4096000 | 4096000 |
      | long response | /plain/4000000  | 4000000 |

  Scenario: A response that was received is read late
    The endpoint has done its work, so its slot is free for others while the
    caller has yet to read.

    Given a front end
    When a caller asks for "/plain/250000" with a deadline of 60000 ms and reads nothing
    And no byte moves any more
    Then the slot of the endpoint is free and the answer is not logged
    When the caller reads on
    Then it gets a whole response of 250000 bytes
    And nobody is cut off

  Scenario: The endpoint is not read while its caller does not read
    Otherwise the whole response would end up in the front end.

    Given a front end
    When a caller asks for "/stream/40000000" with a deadline of 60000 ms and reads nothing
    And no byte moves any more
    Then the endpoint could send less than 1000000 bytes

  Scenario: An endpoint stalls while its caller reads
    The caller is not the cause, and must not be logged as one that did not
    read.

    Given a front end
    When a caller asks for "/part/400000" with a deadline of 1500 ms and reads all
    Then its response is broken off with "deadline exceeded"
    And nobody is cut off

  Scenario: Too much is held for all callers
    The process would run out of memory. The largest stalled responses are cut
    off first; the other callers notice nothing.

    Given a front end with 6 MB of memory
    When 3 callers ask for "/stream/600000" and read nothing
    And 4 callers ask for "/stream/600000/300000" and read nothing
    Then only callers that asked for "/stream/600000/300000" are cut off, as "memory"
    And the bytes held are within the bound
    When the other callers read on
    Then each of them gets a whole response

  Scenario: A caller does not read its refusals
    It sends one request after the other. Its connection would stay open, and
    hold what it does not read, for as long as it likes.

    Given a front end that closes idle connections after 1 s
    When a caller sends requests that are refused and reads nothing
    Then it is cut off as "idle"
    And no request, slot or endpoint connection is in use

  Scenario Outline: A thousand callers read nothing of <paths>
    The smallest front ends have 136 MB. They would be killed, and all their
    requests with them.

    Given a front end process with 136 MB of memory
    When 1000 callers ask for <paths> and read nothing
    Then another caller gets a whole response of 20480 bytes
    And at most <cut> of the callers are cut off
    And the bytes held were always within the bound
    And the process never used more than its memory

    Examples:
      | paths                              | cut |
      | /stream/4000000                    | 0   |
      | /plain/4000000 and /plain/200000   | 100 |

  Scenario Outline: The bound follows the memory limit of the settings
    Given settings with "<line>"
    Then at most <bytes> bytes may be held for callers

    Examples:
      | line                  | bytes    |
      | limits.memory_mb=552  | 69000000 |
      | limits.memory_mb=     | 17000000 |

  Scenario: Any sequence of stalls
    A miscounted byte adds up over days, until every stalled caller is cut off.

    Given any sequence of stalled responses
    Then the count is always the sum of the responses that are held
    And what is held is within the bound unless nothing is stalled
    And no response is cut off while a larger one is stalled
