Feature: Placement of calls under peak load
  When a failure domain is partitioned, all calls that ran there are sent again
  at once, with prompts that must be read anew.

  Scenario: All conversations of a domain are sent again at once
    Each front end sends the broken calls to the engine that looks fastest. The
    engine reads one prompt after the other, and callers wait for seconds while
    other engines are idle.

    Given engines "fast, average, slow" that take 0.6, 1.0 and 1.6 of the average time
    When 24 turns with 5000 prompt tokens are sent at once
    Then each engine gets at least 3 and at most 14 of them
    And the last prompt has been read within half of the time that one engine would need

  Scenario: Reading a prompt delays running streams
    The fast engine serves sixteen streams, and each of them stops while a new
    prompt is read. At another engine, fewer streams wait.

    Given engines "fast, average, slow" that take 0.9, 1.0 and 1.6 of the average time
    And 16 streams run at "fast"
    When 1 turns with 5000 prompt tokens are sent at once
    Then "average" gets it

  Scenario: A turn continues where its conversation is cached
    Given engines "fast, average, slow" that take 0.9, 1.0 and 1.6 of the average time
    And 6 streams run at "average"
    And the conversation is cached at "average"
    When 1 turns with 5000 prompt tokens are sent at once
    Then "average" gets it

  Scenario: Events of a busy engine arrive in batches
    The intervals between events of one batch are zero. If each were recorded,
    the busiest engine would look several times as fast as it is, and get all
    calls.

    Given engines "fast, average, slow" that take 1.0, 1.0 and 1.0 of the average time
    When a stream of 9 events within 0.9 s comes from "slow", all but the first at once
    Then "slow" is not estimated as faster than "average"

  Scenario Outline: An engine did not go on with a stream
    It answers at once and looks idle. If it were asked again and again, the
    stream would be broken off though another engine could go on with it.

    Given engines "fast, average, slow" that take 0.6, 1.0 and 1.6 of the average time
    When a stream that may run on <most> engines ran on "<ran>" and "fast" did not go on with it
    Then "<next>" gets it

    Examples:
      | most | ran        | next    |
      | 3    | slow, fast | average |
      | 2    | slow, fast | slow    |
      | 1    | fast       | fast    |
