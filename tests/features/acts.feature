Feature: Non-idempotent calls run at most once
  A call marked non-idempotent is answered in one of three ways: with its
  stored outcome, with "not run", or with "unknown". It is never sent a second
  time.

  Background:
    Given a system for acts

  Scenario: The caller repeats while the first try is running
    A deposit takes long, the caller's library times out and sends it again
    through another instance. Run twice, a family would be charged twice.

    Given the offices take 1.0 seconds
    When act "k" is started through instance 0 of the program
    And act "k" has reached an office
    And act "k" is repeated through instance 1 of the program
    Then act answer 1 has status 200
    And act answer 2 has status 200
    And act "k" ran 1 times

  Scenario: An act without a program through any instance
    The balancer sends a repeat to another instance. All must find the first
    try, or a coordinator books the same hall twice.

    When act "k" is sent without a program through each instance
    Then all act answers have status 200
    And act "k" ran 1 times

  Scenario: Two workspaces use the same key without a program
    Keys of two firms meet in one shard. If the key alone told acts apart, one
    firm would be given the other's answer, or a conflict with it.

    When 40 keys are each used by workspaces "leith" and "oban"
    Then all act answers have status 200
    And each act ran 2 times

  Scenario: No connection to an endpoint
    An office has gone and refuses connections. Nothing was sent, so the call
    may go to another office and the caller notices nothing.

    Given office-1 is gone
    When act "k-1" to "k-6" are sent
    Then all act answers have status 200
    And act "k-1" ran 1 times

  Scenario: No endpoint can be reached
    All offices have gone. The caller is told that the deposit did not run;
    sent again later, it runs once.

    Given office-1 is gone
    And office-2 is gone
    When act "k" goes through instance 0
    Then act answer 1 is refused with ran "no"
    And act "k" ran 0 times
    When the offices are back
    And act "k" is sent until it is not refused with ran "no"
    Then act "k" ran 1 times

  Scenario Outline: The connection breaks around the request
    The connection to an office breaks and the owner can't tell whether the
    deposit was made. The caller is told so, and sending it again changes
    nothing.

    Given the offices have the fault <fault> for 1 calls
    When act "k" goes through instance 0
    Then act answer 1 is refused with ran "unknown"
    When act "k" goes through instance 1
    Then act answer 2 is refused with ran "unknown"
    And act "k" ran <runs> times

    Examples:
      | fault         | runs |
      | refuse_before | 0    |
      | lose_answers  | 1    |

  Scenario: A kept connection closes under a PUT
    HTTP libraries send PUT and DELETE again by themselves when a connection
    that was used before closes. A correction would be filed twice.

    Given each office has answered an idempotent PUT and a PUT act
    And the offices have the fault lose_answers for 1 calls
    When act "k" is sent as PUT
    Then act answer 1 is refused with ran "unknown"
    And act "k" ran 1 times

  Scenario: The service answers with a redirect
    HTTP libraries follow redirects by themselves and send the body again.
    A correction would run at two places, and the caller see only one.

    Given the offices redirect to one another
    When act "k" goes through instance 0
    Then act answer 1 has status 307
    And act "k" ran 1 times

  Scenario: The service hangs
    An office takes the deposit and never answers. The caller is told at its
    deadline that the result is unknown, and is told the same ever after.

    Given the offices hang
    When act "k" is sent with a deadline of 1 seconds
    Then act answer 1 is refused with ran "unknown"
    When the offices are well again
    And act "k" goes through instance 1
    Then act answer 2 is refused with ran "unknown"
    And act "k" ran 1 times

  Scenario: A repeat with a shorter deadline than the first try
    A caller asks again while the first try still runs and has little time.
    It is answered at its own deadline, not at that of the first try.

    Given the offices take 4.0 seconds
    When act "k" is started through instance 0 of the program
    And act "k" has reached an office
    And act "k" is sent with a deadline of 0.3 seconds
    Then act answer 1 is refused with ran "unknown"
    And act answer 1 came before the started act's
    And act "k" ran 1 times

  Scenario: The answer is longer than the log can keep
    A service answers an act with more than a value of the key-value service
    holds. Kept as it is, it could never be committed and would block every
    later turn and act of the shard.

    When act "k" is sent with a body of 1200000 bytes
    Then act answer 1 has status 200
    When act "after" goes through instance 0
    Then act answer 2 has status 200
    When act "k" is sent with a body of 1200000 bytes
    Then act answer 3 is refused with ran "yes"
    When the owner of the program is killed
    And act "after" goes through another instance
    Then act answer 4 has status 200
    And act "k" ran 1 times
    And act "after" ran 1 times

  Scenario: The owner dies after it sent the request
    The instance that sent a deposit dies before the answer is there. The next
    owner finds the intent without an outcome and must not send it again.

    Given the offices take 2.0 seconds
    When act "k" is started through instance 0 of the program
    And act "k" has reached an office
    And the owner of the program is killed
    And act "k" goes through another instance
    Then act answer 1 is refused with ran "unknown"
    And act "k" ran 1 times

  Scenario: The owner dies before the outcome is kept
    The service has answered, the key-value service is away, and the owner
    dies with the outcome. The caller of the first try has its answer; the
    next owner knows only that the request was sent.

    Given the offices take 1.0 seconds
    When act "k" is started through instance 0 of the program
    And act "k" has reached an office
    And the key-value service goes away
    Then the started act is answered with status 200
    When the owner of the program is killed
    And the key-value service is back
    And act "k" goes through another instance
    Then act answer 1 is refused with ran "unknown"
    And act "k" ran 1 times

  Scenario: The owner dies after the intent, before sending
    The intent was written, its answer lost, and the owner dies. Whether the
    request was sent can't be known, so the next owner doesn't send it.

    Given writes of the log take effect without an answer
    When act "k" goes through instance 0
    Then act answer 1 is refused with ran "no"
    When the owner of the program is killed
    And the key-value service is back
    And act "k" goes through another instance
    Then act answer 2 is refused with ran "unknown"
    And act "k" ran 0 times

  Scenario: The key-value service is away before the intent
    Without the intent nothing may be sent. The caller is told that it did not
    run and when to come back.

    Given the key-value service goes away
    When act "k" goes through instance 0
    Then act answer 1 is refused with ran "no"
    And act answer 1 says when to come back
    And act "k" ran 0 times
    When the key-value service is back
    And act "k" is sent until it is not refused with ran "no"
    Then act "k" ran 1 times

  Scenario Outline: The owner is frozen between the intent and sending
    The owner stalls after its intent was committed. Another instance takes
    over; then the old owner wakes up, believing that it still may send.

    Given the offices <check> fencing numbers
    And writes of the key-value service take 0.6 seconds
    When act "k" is started through instance 0 of the program
    And the intent of act "k" has reached the key-value service
    And the owner of the program is frozen
    And the key-value service is fast again
    And act "k" goes through another instance
    Then act answer 1 is refused with ran "unknown"
    When the frozen owner wakes up
    Then the started act is refused
    And act "k" ran 0 times

    Examples:
      | check  |
      | check  |
      | ignore |

  Scenario: The owner is frozen while it connects
    An office does not take the connection, and the owner stalls before it
    turns to another office. When it wakes up it has been replaced, and must
    not send what its replacement has already called unknown.

    Given no office takes connections
    When act "k" is started through instance 0 of the program
    And the owner of the program is connecting to an office
    And the owner of the program is frozen
    And the offices take connections again
    And act "k" goes through another instance
    Then act answer 1 is refused with ran "unknown"
    When the frozen owner wakes up
    Then the started act is refused
    And act "k" ran 0 times

  Scenario: A program that has ended takes no acts
    A straggler of a program that was ended books a seat. Whoever ended the
    program counts on nothing happening after that.

    When act "k-1" goes through instance 0
    And the program of the acts is ended
    And act "k-2" goes through instance 0
    And act "k-1" goes through instance 0
    Then act answer 1 has status 200
    And act answer 2 is refused with ran "no"
    And act answer 3 has status 200
    And act "k-2" ran 0 times
