Feature: The whole path
  Callers reach any instance; the instance brings the call to the program's
  owner, the owner to an endpoint, and the answer comes back whole.

  Scenario: A call without a program
    Given a system of three failure domains
    When a call without a program says "hello"
    Then the answer has status 200

  Scenario: Turns of a program through different instances
    Given a system of three failure domains
    And a program
    When turn 1 "hello" is sent through instance 3
    And turn 1 "hello" is sent through instance 5
    Then both answers are the same
    When turn 2 "and more" is streamed through instance 4
    Then the stream is whole
    And the history has turns 1, 2

  Scenario: A turn that differs from the one that was kept
    A caller that lost track sends another request under a number that was
    used. It must not be told an answer to something else.

    Given a system of three failure domains
    And a program
    When turn 1 "hello" is sent through instance 0
    And turn 1 "something else" is sent through instance 1
    Then the answer has status 409
    And the refusal is "turn_conflict" and "no"

  Scenario: A turn too far ahead
    Given a system of three failure domains
    And a program
    When turn 5 "hello" is sent through instance 2
    Then the answer has status 409
    And the refusal is "turn_gap" and "no"

  Scenario: An act sent twice through two instances
    The caller's connection times out and its library sends the deposit again
    through another instance. A family would be charged twice.

    Given a system of three failure domains
    And a program
    When the deposit "deposit-1" of "20" is sent through instance 1
    Then the answer has status 200
    When the deposit "deposit-1" of "20" is sent through instance 4
    Then the answer has status 200
    And the service ran "deposit-1" 1 time
    When the deposit "deposit-1" of "30" is sent through instance 2
    Then the refusal is "act_conflict" and "no"
