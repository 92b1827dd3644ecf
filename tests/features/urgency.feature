Feature: Priorities of calls at engines
  Load comes in bursts of several times the mean. While calls wait at an engine,
  the order of admission decides whose programs are late.

  Scenario: The rank of the route comes first
    If a program's standing could outweigh its route's rank, urgent callers
    would wait behind less urgent ones just when engines are busy.

    Then for any two calls, the one of the more urgent route has no larger number
    And every priority is from 0 to 9

  Scenario: Programs with less slack come no later
    A program that is almost late would miss its target while one with much time
    left is served.

    Then among programs that have begun and can be in time, less slack gives no larger number

  Scenario Outline: Order within a rank
    Abandoning a program halfway wastes the service it has received, and serving
    a late one makes others late.

    When a call of a <kind> program has <left> s left and needs <needed> s, with an excess of <excess> shares
    Then its place is "<place>"

    Examples:
      | kind  | left    | needed  | excess | place |
      | begun | 1.0     | 0.3     | 0.0    | BEGUN |
      | begun | 0.45    | 0.3     | 0.0    | BEGUN |
      | begun | 0.44    | 0.3     | 0.0    | TIGHT |
      | begun | 0.3     | 0.3     | 0.0    | TIGHT |
      | begun | 0.2     | 0.3     | 0.0    | BEGUN |
      | begun | 0.0     | 0.3     | 0.0    | LAST  |
      | begun | unknown | 0.3     | 0.0    | BEGUN |
      | begun | 0.35    | unknown | 0.0    | BEGUN |
      | new   | 0.35    | 0.3     | 0.0    | NEW   |
      | new   | -0.1    | 0.3     | 0.0    | LAST  |
      | begun | 1.0     | 0.3     | 0.5    | BEGUN |
      | begun | 1.0     | 0.3     | 0.6    | LAST  |

  Scenario: A burst of urgent and less urgent programs
    In order of arrival, urgent programs wait as long as all others and miss
    their target.

    Given short urgent and long less urgent programs, 6 times as many for 4 s
    When an engine admits their calls by priority
    Then at least 0.98 of the urgent programs of the burst are on time
    And all programs end within 7 s of the burst

  Scenario: The same burst in order of arrival
    Shows that the order is what the scenario above depends on.

    Given short urgent and long less urgent programs, 6 times as many for 4 s
    When an engine admits their calls by arrival
    Then less than 0.5 of the urgent programs of the burst are on time

  Scenario: A workspace with five times its usual load
    The other workspaces have done nothing unusual, and their programs would be
    late.

    Given 8 workspaces, of which one sends 5 times its usual load for 20 s
    When an engine admits their calls by priority
    Then at least 0.95 of the other workspaces' programs are on time

  Scenario: The same workspace in order of arrival
    Given 8 workspaces, of which one sends 5 times its usual load for 20 s
    When an engine admits their calls by arrival
    Then less than 0.6 of the other workspaces' programs are on time

  Scenario Outline: One of many workspaces sends five times its usual load
    With more than fifty workspaces, each had less than the least share of an
    active one, so none ever exceeded its share.

    When one of <count> workspaces uses 5 times the service of each other one
    Then it exceeds its fair share by more than <excess> shares
    And no other workspace exceeds its fair share by more than 1 shares

    Examples:
      | count | excess |
      | 8     | 1.5    |
      | 50    | 2      |
      | 83    | 2      |
      | 400   | 2      |

  Scenario: One long program is no excess of its workspace
    A front end sees few programs of each workspace. The calls of one program
    alone would look like several fair shares, and it would be late for its
    length.

    When one program of a workspace has 12 turns while others have one each
    Then its workspace has no excess

  Scenario: Calls to plain services are no excess at engines
    They hold no slot of an engine. The programs of a workspace that uses such
    a service much would come last at engines for it.

    When a workspace makes 20 calls to a service without priorities while others make one each
    Then its workspace has no excess at engines

  Scenario Outline: Only engines of routes with different priorities get them
    An engine that gets a number from some callers and none from others takes
    the others as 5.

    Given routes of the priorities "<priorities>" to <kind>
    When a call of the route of priority <priority> is sent
    Then its priority at the endpoint is "<sent>"

    Examples:
      | priorities | kind     | priority | sent |
      | 0, 2       | engines  | 0        | 2    |
      | 0, 2       | engines  | 2        | 7    |
      | 0, 1, 2    | engines  | 1        | 4    |
      | 1, 1       | engines  | 1        | none |
      | 1          | engines  | 1        | none |
      | 0, 2       | services | 2        | none |

  Scenario: Engines without a slowdown are served in order of arrival
    Deployments whose engines do not report how fast they are would be served
    in another way than before.

    Given routes of the priorities "0, 2" to engines
    And the engines report no slowdown
    When a call of the route of priority 0 is sent
    Then its priority at the endpoint is "none"

  Scenario: A call that is sent again gets a new priority
    Time has passed, so its program may be late by now and would delay others.

    Given routes of the priorities "0, 2" to engines
    When a call of a program with 0.5 s left is sent again after 1 s
    Then its priorities are "2, 3"

  Scenario: A caller resumes a stream of which it has events
    The program has used service. Served as a new one, it would wait behind all
    that have begun.

    Given routes of the priorities "0, 2" to engines
    When a call with the last event "e-1" is sent
    Then its priority at the endpoint is "1"

  Scenario Outline: Whether a program has begun
    A front end that did not serve the earlier turns must still recognize a
    program that has begun, or it would be served last.

    When a turn of a route that <stores> turns has the previous turn "<previous>" and <taken> of its budget is taken with its own 10 tokens
    Then its program has begun: "<begun>"

    Examples:
      | stores         | previous | taken   | begun   |
      | stores         | t-1      | unknown | yes     |
      | stores         |          | unknown | no      |
      | stores         |          | 25      | yes     |
      | does not store |          | 25      | yes     |
      | does not store |          | 10      | no      |
      | does not store |          | unknown | unknown |

  Scenario Outline: The budget's holders tell whether a program has begun
    Only the reply to the reservation carries it. If it got lost on the way to
    the turn, programs that have begun would be served as new ones.

    When a turn of 10 tokens reserves its budget and <taken> tokens are then taken, granted by <granted>
    Then its program has begun: "<begun>"

    Examples:
      | taken | granted      | begun   |
      | 10    | the holders  | no      |
      | 30    | the holders  | yes     |
      | 10    | one instance | unknown |

  Scenario: Programs served here are remembered up to a limit
    The memory of a front end is small, and ids of programs never repeat.

    When 10500 programs are served
    Then the last 10000 of them are known to have begun
