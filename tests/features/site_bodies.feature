Feature: Heads and bodies of requests on the users' platform
  What a caller sends may be slow, long, or made to look like two requests.

  Background:
    Given a system on the users' platform

  Scenario: A request head that does not end
    A caller sends half a head and nothing more. If connections stayed open for
    such callers, none would be left for others.

    Given a configuration with "header_timeout_ms" of 300
    When half a request head is sent to "east"
    Then the connection is answered with 408 and closed

  Scenario: A body that does not end
    A caller announces a body and sends half of it. Without a timeout, the
    request would stay open beyond the timeout of its route.

    When a payment announces 100 bytes and sends 50
    Then the connection is answered with 408
    And no endpoint received it

  Scenario: The rest of a body whose request was refused
    It arrives after the refusal. If it were taken for the head of the next
    request, the caller would get an answer that it did not ask for, and lose
    its connection.

    Given a configuration with "header_timeout_ms" of 300
    When a request without a route announces 4000 bytes and sends 2000
    Then the connection is answered with 404
    When the other 2000 bytes are sent and 0.8 seconds pass
    And a payment is sent on the same connection
    Then the connection is answered with 200

  Scenario: A caller waits for permission to send its body
    It holds the body back until it is asked to continue. If it were never
    asked, both sides would wait until the caller times out.

    When a payment that expects "100-continue" is sent to "east"
    Then the caller is asked to continue, and is then answered with 200
    And the endpoint received its body and no Expect header

  Scenario: An unsupported expectation
    When a payment that expects "miracles" is sent to "east"
    Then the connection is answered with 400
    And no endpoint received it

  Scenario Outline: A request inside the body of another request
    Guards against request smuggling: two parsers that disagree on where a body
    ends would treat its content as a request that no caller has sent.

    When a request framed by <framing> contains another request
    Then the connection is answered with 400
    And no endpoint received it or the hidden request

    Examples:
      | framing       |
      | both          |
      | two lengths   |
      | a bad chunk   |
      | a signed size |

  Scenario: A long body is forwarded as it arrives
    The endpoint responds before it has the whole body. A front end that waited
    for all of it would hold back the whole body, and the response.

    Given every desk endpoint has the fault "early"
    When a payment announces 90000 bytes and sends 70000
    Then the connection is answered with 200

  Scenario: A long body without a length
    When a payment of 90000 bytes in chunks is sent to "east"
    Then the connection is answered with 200
    And the endpoint received all 90000 bytes

  Scenario: A long body without a length exceeds the configured limit
    When a payment of 110000 bytes in chunks is sent to "east"
    Then the connection is answered with 413

  Scenario: An endpoint sheds a request after its long body was forwarded
    The body can't be sent again. Unless the caller is told that the request
    has not run, it could not send it again either.

    Given every desk endpoint has the fault "shed"
    When a payment of 90000 bytes in chunks is sent to "east"
    Then the connection is answered with 503
    And it was sent to one endpoint

  Scenario: A long response is forwarded as it arrives
    Only its beginning is buffered. If its end were not recorded, its log line
    would tell too little, and a request that lost its endpoint once would stay
    suspected of crashing it.

    When a look-up with a long response is sent to "east"
    Then it is answered with 200
    And the response has 2000000 bytes, which the log of "east" tells

  Scenario: A long response is cut off
    The caller already has its beginning, so it can't be sent again by another
    endpoint. It must not look complete.

    Given every desk endpoint has the fault "cut"
    When a look-up with a long response is sent to "east"
    Then the connection ends without a complete response
    And "east" suspects the endpoint

  Scenario Outline: A body with a content encoding
    Guards against endpoints that get another body than was sent, still labelled
    with its encoding.

    When a payment of <size> random bytes labelled "<encoding>" is sent to "east"
    Then the connection is answered with 200
    And the endpoint received these bytes with that label

    Examples: as it says, not as it says, unknown here, passed on as it arrives
      | size   | encoding |
      | 100    | gzip     |
      | 100    | br       |
      | 100    | zstd     |
      | 90000  | deflate  |

  Scenario: A compressed body
    Guards against endpoints that get it decompressed, still labelled gzip.

    When a payment that is compressed with gzip is sent to "east"
    Then the connection is answered with 200
    And the endpoint received these bytes with that label
