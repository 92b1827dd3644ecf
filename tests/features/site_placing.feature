Feature: Placing calls at engines when load is at its worst
  When a failure domain is cut off, all that ran there is sent again at once,
  with prompts that must be read anew.

  Scenario: All conversations of a domain are sent again at once
    Each front sends what was broken to the engine that looks fastest. It reads
    one prompt after the other, and callers wait for seconds while others idle.

    Given engines "quick, usual, slow" that take 0.6, 1.0 and 1.6 of the usual time
    When 24 turns with 5000 tokens to read are sent at once
    Then each engine gets at least 3 and at most 14 of them
    And the last prompt has been read within half of the time that one engine would need

  Scenario: A prompt that must be read delays those that run
    The quick engine serves sixteen streams, and each of them stops while a new
    prompt is read. Another one reads it with fewer waiting.

    Given engines "quick, usual, slow" that take 0.9, 1.0 and 1.6 of the usual time
    And 16 streams run at "quick"
    When 1 turns with 5000 tokens to read are sent at once
    Then "usual" gets it

  Scenario: A turn goes on where its conversation is cached
    Given engines "quick, usual, slow" that take 0.9, 1.0 and 1.6 of the usual time
    And 6 streams run at "usual"
    And the conversation is cached at "usual"
    When 1 turns with 5000 tokens to read are sent at once
    Then "usual" gets it

  Scenario: Events of a busy engine come many at a time
    Each gap between those that come together is nothing. Learned one by one,
    the busiest engine looks several times as fast as it is, and gets all.

    Given engines "quick, usual, slow" that take 1.0, 1.0 and 1.0 of the usual time
    When a stream of 9 events within 0.9 s comes from "slow", all but the first at once
    Then "slow" is not taken for faster than "usual"
