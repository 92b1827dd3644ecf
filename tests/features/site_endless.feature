Feature: Bytes without end from endpoints
  An endpoint may send bytes that are no answer, in a head or a body, until its
  connection is closed. The calls of other endpoints must not notice it.

  Background:
    Given a system on the users' platform

  Scenario Outline: Engines send without end beside sound endpoints
    Guards against a front end that does nothing but read such bytes: calls
    beside it ended late, without an answer, or with the front end, which ran
    out of memory.

    Given every engine sends "<fault>"
    When 24 turns are sent to "east" and 48 payments beside them
    Then every payment is answered whole
    And no turn looks complete
    And the front end of "east" has used less than 110 MB

    Examples:
      | fault                |
      | endless_interim      |
      | endless_hints        |
      | endless_foreign      |
      | endless_foreign_body |
      | endless_rejection    |
      | endless_event        |
      | endless_events       |
      | endless_comments     |
      | endless_body         |

  Scenario Outline: Endpoints of a plain service send without end
    Given every desk endpoint sends "<fault>"
    When 16 payments are sent to "east" and 48 plans beside them
    Then every plan is answered whole
    And no payment looks complete
    And the front end of "east" has used less than 110 MB

    Examples:
      | fault                |
      | endless_interim      |
      | endless_foreign_body |
      | endless_rejection    |
      | endless_body         |
      | endless_events       |

  Scenario: Callers do not read what has no end
    Guards against a front end that holds what its callers have yet to read.

    Given every desk endpoint sends "endless_body"
    When 16 callers send payments to "east" and read nothing, and 48 plans are sent beside them
    Then every plan is answered whole
    And the front end of "east" has used less than 110 MB

  Scenario: A turn goes on beyond its tokens
    The program may use the rest of its budget elsewhere at the same time.
    Guards against more tokens than were set aside for the turn, and against a
    front end that holds all of them.

    Given every engine sends "endless_events"
    When a turn of at most 40 tokens is sent to "east" until it reaches an engine
    Then its caller got 4 events, and no complete response
    And the front end of "east" tells of an answer in excess by "tokens"
