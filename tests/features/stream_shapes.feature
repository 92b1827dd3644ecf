Feature: Shapes of one endpoint's stream
  An endpoint may leave out the content type, and mark the end of its body by a
  length, by chunks or by nothing but the end of its connection. Its lines may
  end with CR, LF or both. Whatever it sends, only a stream that has come to its
  end is taken for complete.

  Scenario Outline: A stream without a marked end is not whole
    Guards against an end of the connection that is taken for the stream's.

    When a stream <type> and without a marked end consists of <text>
    Then the stream is broken off

    Examples:
      | type                   | text                                     |
      | with a content type    | nothing                                  |
      | with a content type    | data: a                                  |
      | with a content type    | : wait\n\n                               |
      | with a content type    | data: a\n\n: by                          |
      | with a content type    | data: a\n\n: bye\n                       |
      | with a content type    | id: 1\r\ndata: a\r\n\r                   |
      | with a content type    | data: a\r\n\r\ndata: b\r\n\r             |
      | without a content type | nothing                                  |
      | without a content type | id                                       |
      | without a content type | id: 1\ndata: a\n                         |
      | without a content type | : wait\n\nid: 1                          |
      | without a content type | data: a\n\ndata: b\n                     |

  Scenario Outline: A stream without a marked end is whole
    When a stream <type> and without a marked end consists of <text>
    Then the stream is complete, and its caller gets <text>

    Examples:
      | type                   | text                                     |
      | with a content type    | data: a\n\n                              |
      | with a content type    | data: a\n\n: bye\n\n                     |
      | with a content type    | data: a\n\n\n                            |
      | with a content type    | id: 1\r\ndata: a\r\n\r\n                 |
      | with a content type    | id: 1\rdata: a\r\r                       |
      | without a content type | data: a\n\ndata: b\n\n                   |
      | without a content type | : wait\n\nid: 1\ndata: a\n\n             |

  Scenario Outline: A stream without a content type that comes in chunks
    Guards against half an event that is taken for a whole answer, because
    neither its head nor an earlier event tells that it is a stream.

    When a stream without a content type consists of <text>
    Then the stream is broken off

    Examples:
      | text              |
      | id: 1             |
      | id: 1\ndata: a\n  |

  Scenario Outline: A stream without an event
    Guards against an answer that has no content and is kept for later turns.

    When a stream <type> consists of <text>
    Then the stream is broken off

    Examples:
      | type                   | text     |
      | with a content type    | nothing  |
      | with a content type    | : wait\n |
      | without a content type | nothing  |

  Scenario: A resumed stream without a further event
    Guards against a stream that is broken off though its caller has all of it.

    When a stream that its caller resumes after event "4" consists of nothing
    Then the empty stream is complete

  Scenario: A response that has no content by its status
    Guards against a response that is not forwarded, as it is taken for a stream
    that has ended early.

    When an endpoint answers a stream's request with status 204
    Then the empty stream is complete

  Scenario: Whatever the shape, a stream that stopped early is not complete
    Then 2000 drawn streams are complete if they are whole, and only then

  Scenario Outline: The drawn streams show a check that is left out
    Guards against a check that can't fail.

    Given streams that are joined <mistake>
    Then some of 2000 drawn streams are complete and not whole, or the reverse

    Examples:
      | mistake                                                |
      | without looking at their end                           |
      | as if those without a content type were something else |
      | with each CR taken for a whole line end                |
