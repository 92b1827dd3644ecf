Feature: Admission and queue order
  Programs that could not meet their target are refused at once, and started
  programs precede new ones.

  Scenario: Overload
    More programs arrive than the endpoint can serve. Without refusals, those
    that wait too long miss their target and delay all others past theirs.

    Given a system whose only endpoint is stalled
    When 12 programs of class "hurried" send their first turn
    Then some are refused as "overloaded" with a Retry-After header
    And each refusal was returned while the endpoint was stalled
    When the endpoint resumes
    Then all programs that were not refused are answered

  Scenario: A new target takes effect without a restart
    Operators see refusals and give the class a longer target instead. The
    change must apply without a restart.

    Given a system whose only endpoint is stalled
    When 12 programs of class "hurried" send their first turn
    Then some are refused as "overloaded" with a Retry-After header
    When the target of "hurried" becomes 600 s
    Then a program of class "hurried" is no longer refused

  Scenario: Started programs precede new ones
    A program is halfway through when others start. If it had to wait behind
    them, it would finish too late and its previous work would be wasted.

    Given an endpoint whose only slot is taken
    When a new program waits for it, then a started one
    Then the started program gets it first

  Scenario: Without deadline order a started program waits
    Given an endpoint whose only slot is taken, without deadline order
    When a new program waits for it, then a started one
    Then the new program gets it first

  Scenario: One workspace floods the queue
    A workspace starts a hundred programs at once. Without fair shares, the
    calls of another workspace would wait behind all of them.

    Given an endpoint whose only slot is taken by "flood"
    When workspace "flood" has 30 calls waiting and then "small" has 1
    Then the call of "small" is among the first 3

  Scenario: Without fair shares it waits behind the flood
    Given an endpoint whose only slot is taken by "flood", without shares
    When workspace "flood" has 30 calls waiting and then "small" has 1
    Then the call of "small" is last

  Scenario: Engines get the same order
    Calls also queue inside engines. If they were sent in order of arrival, the
    order of the instance's own queue would have no effect there.

    Then a started program's call outranks a new program's earlier call

  Scenario: Workspaces within their share are admitted first
    A workspace has used three times its share in the last seconds. While there
    is room for only some programs, those of another workspace are admitted
    first.

    Then a workspace within its share is admitted whenever one over it is
    And at half of the allowed delay only the one within its share is

  Scenario: A call that waits past its deadline
    A caller sets a deadline, and no slot becomes free in time.

    Given an endpoint whose only slot is taken
    When a call with a deadline of 2 s waits for it
    Then it is refused as "overloaded" by its deadline and holds no slot

  Scenario: No call starves
    Then a call that waited for four targets precedes all later calls

  Scenario: Sub-agents are charged to their parent
    A program that splits itself into sub-agents would otherwise look new and
    small each time and precede all others.

    Then a sub-agent is ordered no earlier than its parent

  Scenario: Refused programs do not all retry at once
    Then no two simultaneous refusals give the same retry time
    And the retry times are spaced by the admission interval

  Scenario: The limit follows the endpoint's capacity
    Then an endpoint's limit falls while calls are slow and grows otherwise

  Scenario: A class that was not used for a week
    A class is used only for a monthly release. The weight of its samples grows
    with the idle time, and the next call must not overflow it.

    Given a class that recorded 100 programs of 4 calls
    When it is used again a week later by 100 programs of 9 calls
    Then percentile 95 of its calls is 9

  Scenario: Time in which a turn is sent again is no pause of its program
    An endpoint fails for some seconds, and a program sends its turn again until
    it is answered. If that time counted as a pause between turns, no time would
    be left for a delay, and new programs would be refused at an idle endpoint.

    Given an endpoint that fails for 10 s while a program sends its first turn
    When 12 of its sub-agents have a turn each and the endpoint is idle again
    Then a new program is admitted

  Scenario: Pauses are measured once, from an answer to the next turn
    Turns are refused or fail and are sent again. Whatever the times, only the
    time that the program itself took for its next turn may be learned.

    Then the learned pause is the program's own, however often a turn is resent
