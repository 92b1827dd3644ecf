Feature: Answers that another instance forwards
  A call runs at the owner of its program, and the instance that its caller is
  connected to forwards the replies. What it has received may end anywhere; only
  the last message of a call tells that the answer is whole.

  Scenario Outline: The owner's work on a call ends before the answer does
    The part before must not look like an answer, and its caller must not wait
    for the rest: the owner is alive and goes on to send other messages.

    Given an owner whose replies <fault>
    When a call is forwarded to it
    Then the call ends as "internal" after its parts

    Examples:
      | fault                   |
      | end after a part        |
      | fail after a part       |

  Scenario Outline: A message is lost between two instances
    An answer with a hole would look whole: each part is valid in itself.

    Given an owner whose replies <fault>
    When a call is forwarded to it
    Then the call ends as "answer_cut" after its parts

    Examples:
      | fault                 |
      | leave out a part      |
      | leave out the last part |
      | begin twice           |

  Scenario: A call is sent again to an owner that has been restarted
    Guards against replies to the first attempt, which reaches the owner late,
    that are taken for replies to the second one.

    Given an owner that is not running
    When a call to it is given up, and sent again once the owner runs
    Then the owner has served both attempts
    And the replies to the second one are whole

  Scenario Outline: The replies end before the answer does
    The response has begun. A second response behind it, or an orderly end of
    its body, would be read as the rest of the answer.

    Given a front door whose replies end after a part
    When <version> callers request <answer>
    Then the response is recognizably incomplete

    Examples:
      | version  | answer            |
      | HTTP/1.1 | a streamed answer |
      | HTTP/1.1 | a whole answer    |
      | HTTP/1.0 | a streamed answer |
      | HTTP/1.0 | a whole answer    |

  Scenario Outline: A long call
    Guards against a body that is changed where its parts meet, and against a
    call that waits for an owner which is known not to have the memory for it.

    Given an owner with memory for <memory> bytes, of which <used> are used
    When a call with a body of <size> bytes is forwarded to it
    Then the call <end>
    And the owner holds <used> bytes afterwards

    Examples: the whole body is held once while it arrives, and four times while it is served
      | memory   | used    | size     | end                                      |
      | 16000000 | 0       | 1000000  | has reached the owner as it was sent     |
      | 16000000 | 0       | 60000    | has reached the owner as it was sent     |
      | 16000000 | 0       | 20000000 | has reached the owner as it was sent     |
      | 16000000 | 9000000 | 4000000  | is refused with "memory_exhausted"       |
      | 16000000 | 9000000 | 2000000  | is refused with "memory_exhausted"       |
