Feature: Calls over kept connections to endpoints
  A connection to an endpoint carries one call after the other. Which bytes belong
  to which call is known only as long as all of a call was sent and all of its
  answer was received.

  Scenario: A late answer comes before an early one, and the body is under way
    Guards against the next caller's request being written into the rest of
    another caller's body: it never runs, and its caller waits in vain.

    When an endpoint answers the call before again, and a long call before its body has come
    Then what it reads as one call is one caller's call

  Scenario: Bodies go on after answers to earlier calls
    Guards against a body that is broken off since the endpoint has answered an
    earlier call once more.

    When an endpoint answers the call before again while a long body is sent
    Then all calls got whole answers

  Scenario: Whatever an endpoint answers, it gets one caller's bytes in one call
    Guards against any order of early, late, second, garbled and broken answers
    after which a connection is used again too soon.

    Then no sequence of calls and answers mixes the calls of a connection
