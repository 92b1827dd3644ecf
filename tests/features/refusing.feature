Feature: Calls that would start too late are refused at once
  In a burst, more calls arrive than all endpoints can start in time. Callers
  that wait in vain notice it too late to go elsewhere, and their calls take
  slots from those that could still be in time.

  Background:
    Given 3 engines with 12 slots whose calls take 0.3 s

  Scenario: A crowd arrives at full endpoints
    If all were told to come back at the same time, the same crowd would return.

    Given each engine reports 12 running and 60 waiting calls
    When 200 first turns arrive whose programs should be done in 1.0 s and that wait for 3.0 s
    Then all are refused with status 503 before anything is sent
    And each may retry after 0.5 to 1.0 s
    And no tenth of a second has more than 60 of the retries

  Scenario: Callers with little time left are spread too
    Given each engine reports 12 running and 60 waiting calls
    When 200 first turns arrive whose programs should be done in 0.6 s and that wait for 0.6 s
    Then all are refused with status 503 before anything is sent
    And each may retry after 0.09 to 0.2 s
    And no hundredth of a second has more than 40 of the retries

  Scenario Outline: Only what certainly starts too late is refused
    A program that has begun has used service that would be wasted. A refusal by
    a guess would turn away a caller that could be served.

    Given each engine reports <running> running and <waiting> waiting calls
    When <kind> arrives whose program should be done in <finish> s and that waits for <left> s
    Then it is <result>

    Examples:
      | kind                           | running | waiting | finish | left | result  |
      | a first turn                   | 12      | 60      | 1.0    | 3.0  | refused |
      | a first turn                   | 12      | 60      | 2.0    | 3.0  | sent    |
      | a first turn                   | 4       | 0       | -1.0   | 3.0  | sent    |
      | a first turn                   | 11      | 0       | 0.01   | 3.0  | sent    |
      | a turn of a begun program      | 12      | 60      | 1.0    | 3.0  | sent    |
      | a turn of a begun program      | 12      | 60      | 1.0    | 1.0  | sent    |
      | a turn of a program served here | 12     | 60      | 1.0    | 3.0  | sent    |
      | a turn of an unknown program   | 12      | 60      | 1.0    | 3.0  | sent    |
      | a call that may have run       | 12      | 60      | 1.0    | 1.0  | sent    |

  Scenario: Only engines that were not drawn have free slots
    Front ends compare a few random engines. A caller would be turned away while
    another engine is idle.

    Given each engine reports 12 running and 60 waiting calls
    And 20 further engines of which the last reports 2 running calls
    When a first turn arrives whose program should be done in 1.0 s and that waits for 3.0 s
    Then it is sent
    And the idle engine gets it first

  Scenario: Calls of a plain service are sent to full endpoints
    Their measured durations contain the wait for a slot. An expected start from
    these is several times too late, and calls that could be served were
    refused.

    Given each engine reports 12 running and 60 waiting calls
    When a call of a plain service that took 0.5 s with its wait arrives and waits for 1.0 s
    Then it is sent

  Scenario Outline: The expected start depends on how long others hold slots
    Neither a call's own length nor the time that calls waited in a queue makes
    slots free later. Callers would be refused although they could be served.

    Given each engine reports 12 running and 60 waiting calls
    And 20 calls of 10 events ran for 0.3 s after waiting for <wait> s
    When a first turn with <events> events arrives whose program should be done in <finish> s and that waits for 3.0 s
    Then it is <result>

    Examples:
      | wait | events | finish | result  |
      | 0.0  | 100    | 2.0    | sent    |
      | 1.0  | 10     | 2.0    | sent    |
      | 1.0  | 100    | 1.0    | refused |
      | 0.0  | 1      | 1.0    | refused |

  Scenario Outline: Nothing is refused without recent reports of all endpoints
    With old reports, calls would be refused for as long as nothing is sent that
    could show that slots are free again.

    Given each engine reports 12 running and 60 waiting calls
    And <change>
    When a first turn arrives whose program should be done in 0.2 s and that waits for 3.0 s
    Then it is <result>

    Examples:
      | change                              | result  |
      | 0.9 s pass                          | refused |
      | 1.1 s pass                          | sent    |
      | one engine has not reported         | sent    |
      | one engine reports no slowdown      | sent    |
      | no call has been measured           | sent    |

  Scenario: An urgent call is not refused because of calls that it overtakes
    No urgent kind of work may be served worse than a less urgent one.

    Given each engine reports 12 running and 60 waiting calls
    And 18 less urgent and 2 urgent calls of this front end wait at engines
    When an urgent first turn arrives whose program should be done in 1.0 s and that waits for 3.0 s
    Then it is sent
    When a first turn arrives whose program should be done in 1.0 s and that waits for 3.0 s
    Then it is refused

  Scenario: The queue is full of urgent calls
    Given each engine reports 12 running and 60 waiting calls
    And 1 less urgent and 19 urgent calls of this front end wait at engines
    When an urgent first turn arrives whose program should be done in 1.0 s and that waits for 3.0 s
    Then it is refused

  Scenario Outline: A program that has begun can't be answered by its deadline
    Its calls overtake those of new programs, so only those of begun ones count.
    Its caller would wait for nothing if the queue consisted of these.

    Given each engine reports 12 running and 60 waiting calls
    And <new> new and <begun> begun less urgent calls of this front end wait at engines
    When a turn of a begun program arrives whose program should be done in 1.0 s and that waits for <left> s
    Then it is <result>

    Examples:
      | new | begun | left | result  |
      | 0   | 20    | 1.0  | refused |
      | 0   | 20    | 2.0  | sent    |
      | 18  | 2     | 1.0  | sent    |

  Scenario Outline: The budget of a refused turn is free when its caller returns
    Its caller may return within 0.1 s. While the reservation is still taken,
    the next attempt would count as a turn of a begun program, or find the
    budget used up.

    Given each engine reports 12 running and <waiting> waiting calls
    When the first turn of a program with a budget is sent to a front end
    Then its reservation is <end>

    Examples:
      | waiting | end                 |
      | 60      | released at once    |
      | 0       | settled in a moment |

  Scenario: The refusal names its inputs
    On-call engineers must be able to see why a caller was turned away.

    Given each engine reports 12 running and 60 waiting calls
    And 0.4 s pass
    When a first turn arrives whose program should be done in 0.5 s and that waits for 3.0 s
    Then the detail is like "expected to start in [01].\d\d s at the earliest of 3 endpoints, but its program should be done in 0.50 s \(reports 0.40 to 0.40 s old, 1.00 of the waiting calls start before\)"

  Scenario Outline: Endpoints reject a call
    A constant Retry-After brings all callers back together, too early.

    When a turn that waits for 3.0 s is rejected by all engines, which report <report>
    Then its Retry-After is from <least> to <most> s

    Examples:
      | report                         | least | most |
      | 12 running, 60 waiting calls   | 0.5   | 1.0  |
      | 12 running, no waiting calls   | 0.05  | 0.1  |
      | no load                        | 0.3   | 0.3  |

  Scenario: Engines that reported free slots can't be reached
    After a crash, their last reports still show free slots. Callers that return
    at once would use up their few retries while the engines are down.

    Given each engine reports 4 running and 0 waiting calls
    When a turn that waits for 3.0 s finds no engine that can be reached
    Then its Retry-After is from 0.3 to 0.3 s

  Scenario: Retry-After fits any caller
    Then for any start and time left, Retry-After is at most a third of the time left
    And it is within twice the expected start, and at least 0.05 s if the time left allows it
