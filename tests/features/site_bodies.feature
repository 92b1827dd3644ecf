Feature: Heads and bodies of callers on the users' platform
  What a caller sends may be slow, long, or made to look like two requests.

  Background:
    Given a system on the users' platform

  Scenario: A head that does not end
    A caller sends half a head and nothing more. Held open for each such
    caller, connections would run out for all others.

    Given a configuration with "header_timeout_ms" of 300
    When half a head is sent to "east"
    Then the connection is answered with 408 and closed

  Scenario: A body that does not end
    A caller announces a body and sends half of it. Waited for without bound,
    the request would stay open beyond its route's time.

    When a payment announces 100 bytes and sends 50
    Then the connection is answered with 408
    And no runner has seen it

  Scenario: A caller that waits to be asked for its body
    It holds the body back until it is told to go on. Nobody telling it, both
    sides would wait until the caller gives up.

    When a payment that expects "100-continue" is sent to "east"
    Then the caller is told to go on, and then answered with 200
    And the runner has got its body and no expectation

  Scenario: An expectation that nobody can meet
    When a payment that expects "miracles" is sent to "east"
    Then the connection is answered with 400
    And no runner has seen it

  Scenario Outline: A request inside another one's body
    Two readers that disagree on where a body ends would take what is inside
    for a request of its own, which no caller has sent.

    When a request framed by <framing> hides another one
    Then the connection is answered with 400
    And no runner has seen it or the hidden one

    Examples:
      | framing       |
      | both          |
      | two lengths   |
      | a bad chunk   |
      | a signed size |

  Scenario: A long body goes on as it arrives
    The runner answers before the body is in. A front that waited for all of
    it would hold the whole body, and the answer back.

    Given every desk will "early"
    When a payment announces 90000 bytes and sends 70000
    Then the connection is answered with 200

  Scenario: A long body without a length
    When a payment of 90000 bytes in chunks is sent to "east"
    Then the connection is answered with 200
    And the runner has got all 90000 bytes

  Scenario: A long body without a length beyond the operators' bound
    When a payment of 110000 bytes in chunks is sent to "east"
    Then the connection is answered with 413

  Scenario: A runner sheds a request whose long body has gone to it
    Its body can't be sent again. Told anything but that it has not run, the
    caller could not send it again either.

    Given every desk will "shed"
    When a payment of 90000 bytes in chunks is sent to "east"
    Then the connection is answered with 503
    And it was offered to one runner
