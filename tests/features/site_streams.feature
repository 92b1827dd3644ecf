Feature: Streams of several attempts on the users' platform
  A stream that breaks may be resumed at another endpoint within one response.
  The caller must not take for complete what isn't, nor get an event twice.

  Background:
    Given a system on the users' platform

  Scenario Outline: A resumed stream does not go on where the caller is
    If the later attempt were joined to the first one unchecked, the caller
    would take an answer that was broken off for a complete one, or get events
    twice. The first attempt broke off within an event, so that more was to
    come: an attempt without any event is not the end either.

    Given every engine has the fault "first_cut"
    And every engine has the fault "<fault>"
    When a plan is sent to "east"
    Then an endpoint played the fault "<fault>"
    And it is answered with 200
    And its events are 1 to 4, each once
    And its data are those of events 1 to 4, each once

    Examples:
      | fault                  |
      | resumed_error          |
      | resumed_restart        |
      | resumed_skip           |
      | resumed_repeat         |
      | resumed_unnumbered     |
      | resumed_other          |
      | resumed_cut            |
      | resumed_mute           |
      | resumed_empty          |
      | resumed_unframed_empty |
      | resumed_id_block       |

  Scenario: A stream whose events have no ids breaks off
    No endpoint can go on from it. If it were sent again, the caller would get
    the first events twice.

    Given every engine has the fault "unnumbered"
    When a plan is sent to "east"
    Then the connection ends without a complete response

  Scenario Outline: A stream ends in the middle of an event
    The connection is closed in an orderly way, so that only the events tell
    that the answer isn't whole.

    Given every engine has the fault "<fault>"
    When a turn "y" of program "p20" is sent to "east"
    Then the connection ends without a complete response

    Examples:
      | fault        |
      | unframed_cut |
      | ended_within |

  Scenario Outline: A resumable stream ends in the middle of an event
    Given every engine has the fault "<fault>"
    When a plan is sent to "east"
    Then it is answered with 200
    And its events are 1 to 4, each once

    Examples:
      | fault        |
      | unframed_cut |
      | ended_within |
      | cut_between  |
      | first_empty                  |
      | first_unframed_empty         |
      | first_unframed_comment_cut   |
      | first_unframed_crlf_cut      |
      | first_untyped_unframed_empty |
      | first_untyped_unframed_cut   |
      | first_untyped_ended_within   |

  Scenario Outline: A stream ends before its first event is whole
    Guards against an answer that is taken for whole, and kept for later turns,
    as it has no content type and no event that would tell that it is a stream.

    Given every engine has the fault "<fault>"
    When a turn "s" of program "p27" is sent to "east"
    Then it is answered with 502
    When the next turn "more" of program "p27" is sent to "west"
    Then it is answered with 404

    Examples:
      | fault                        |
      | first_empty                  |
      | first_unframed_empty         |
      | first_untyped_unframed_empty |
      | first_untyped_unframed_cut   |
      | first_untyped_ended_within   |

  Scenario Outline: A stream without a marked end stops between its events
    Guards against an end of the connection that is taken for the stream's, though
    a comment or the last line end is not whole.

    Given every engine has the fault "<fault>"
    When a turn "q" of program "p28" is sent to "east"
    Then the connection ends without a complete response

    Examples:
      | fault                      |
      | first_unframed_comment_cut |
      | first_unframed_crlf_cut    |

  Scenario: A stream ends within an event, and the attempt that resumes it is empty
    Guards against a complete response without the rest of that event.

    Given every engine has the fault "first_unframed_cut"
    And every engine has the fault "resumed_empty"
    When a plan is sent to "east"
    Then an endpoint played the fault "resumed_empty"
    And it is answered with 200
    And its events are 1 to 4, each once

  Scenario: A stream without a length
    Given every engine has the fault "unframed"
    When a turn "z" of program "p21" is sent to "east"
    Then it is answered with 200
    And its events are 1 to 4, each once

  Scenario: Endpoints fail whenever a stream is resumed
    The later attempts must end soon: the caller can resume by itself.

    Given every engine has the fault "cut"
    And every engine has the fault "resumed_error" 20 times
    When a plan is sent to "east"
    Then the connection ends without a complete response
    And it was sent to endpoints 2 to 6 times

  Scenario: Endpoints break off before the first event whenever a stream is resumed
    Without a bound on attempts that bring nothing, the endpoints would get the
    request again and again until its deadline.

    Given every engine has the fault "cut"
    And every engine has the fault "resumed_cut" 20 times
    When a plan is sent to "east"
    Then the connection ends without a complete response
    And it was sent to endpoints 2 to 6 times

  Scenario: The first attempt of a stream fails
    Its body is the caller's answer, whatever looks like events in it.

    Given every engine has the fault "error"
    When a turn "w" of program "p22" is sent to "east"
    Then it is answered with 500
    And the response is the endpoint's

  Scenario: The failure of an endpoint uses no budget
    Its body was taken for events, and each counted as tokens that the program
    had used.

    Given every engine has the fault "error"
    When a turn of program "p23" with a budget of 80 tokens is sent to "east"
    Then it is answered with 500
    When the faults of the engines are over
    Then 2 turns of program "p23" with a budget of 80 tokens are answered with 200

  Scenario: A stream without a content type ends in the middle of an event
    Given every engine has the fault "untyped_unframed_cut"
    When a turn "u" of program "p24" is sent to "east"
    Then the connection ends without a complete response

  Scenario: A stream whose ids step by ten breaks off after its first event
    After one event nobody knows by how much its ids step. If only the next
    number were accepted, a stream that can be resumed would be broken off.

    Given every engine has the fault "stepped_cut"
    And every engine has the fault "resumed_stepped" 5 times
    When a plan is sent to "east"
    Then it is answered with 200
    And its data are those of events 1 to 4, each once

  Scenario: Endpoints close the connection whenever a stream is resumed
    These attempts have no response that could be counted.

    Given every engine has the fault "cut"
    And every engine has the fault "resumed_mute" 20 times
    When a plan is sent to "east"
    Then the connection ends without a complete response
    And it was sent to endpoints 2 to 6 times

  Scenario: Another endpoint can resume a stream than the one that fails
    An endpoint that answers with an error at once looks idle and healthy. If
    all attempts went there, the stream would be broken off though the first
    endpoint could go on.

    Given every engine has the fault "first_cut"
    And every engine has the fault "resumed_stranger" 20 times
    When a plan is sent to "east"
    Then it is answered with 200
    And its data are those of events 1 to 4, each once

  Scenario: An endpoint rejects a request and stalls
    Its status has said all; if the rest were awaited without a bound, the
    caller would be kept waiting beyond its deadline.

    Given every engine has the fault "shed_stalled"
    When a plan is sent to "east" and timed
    Then its caller waited for less than 4 s

  Scenario: A caller resumes a turn that later turns continue
    The front end doesn't know the events that the caller has. If it kept the
    others only, endpoints would get a conversation without the start of that
    answer.

    When a turn "one " of program "p25" that goes on after event 2 is sent to "east"
    Then it is answered with 503
    And no endpoint received it
    When a turn "one " of program "p25" is sent to "east"
    Then it is answered with 200

  Scenario: A stream breaks off before its first event, and the next attempt fails
    The caller has nothing yet that the failure would have to continue, so it
    gets the failure as it is, and not a response that breaks off.

    Given every engine has the fault "cut_at_start"
    And every engine has the fault "error"
    When a plan is sent to "east"
    Then it is answered with 500
    And the response is the endpoint's

  Scenario: A stream that may not be resumed breaks off before its first event
    Given every engine has the fault "cut_at_start"
    When a turn "t" of program "p26" is sent to "east"
    Then it is answered with 502
