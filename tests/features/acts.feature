Feature: Non-idempotent calls run at most once
  A call marked non-idempotent (an act) is answered with its stored outcome,
  with ran "no" or with ran "unknown". It is never sent a second time.

  Background:
    Given a system for acts

  Scenario: The caller repeats a request while it is running
    A deposit takes long, and the caller's HTTP library times out and sends it
    again through another instance. A second run would charge the customer
    twice.

    Given the endpoints take 1.0 seconds per call
    When act "k" is started through non-owner 0
    And act "k" has reached an endpoint
    And act "k" is repeated through non-owner 1
    Then act response 1 has status 200
    And act response 2 has status 200
    And act "k" ran 1 times

  Scenario: An act without a program is repeated through other instances
    The load balancer sends a repeat to another instance. Every instance must
    find the first request, or the act runs twice.

    When act "k" is sent without a program through each instance
    Then all act responses have status 200
    And act "k" ran 1 times

  Scenario: Two workspaces use the same key without a program
    Acts of two workspaces may be stored in the same shard. If acts were
    identified by the key alone, one workspace would get the other's response,
    or a conflict with it.

    When 40 keys are each used by workspaces "leith" and "oban"
    Then all act responses have status 200
    And each act ran 2 times

  Scenario: One endpoint refuses connections
    An endpoint is down and refuses connections. Nothing was sent, so the call
    may be sent to another endpoint, and the caller notices nothing.

    Given endpoint "office-1" is down
    When acts "k-1" to "k-6" are sent
    Then all act responses have status 200
    And act "k-1" ran 1 times

  Scenario: No endpoint can be reached
    All endpoints are down. The caller is told that the act did not run; sent
    again later, it runs once.

    Given endpoint "office-1" is down
    And endpoint "office-2" is down
    When act "k" is sent through instance 0
    Then act response 1 is refused with ran "no"
    And act "k" ran 0 times
    When the endpoints are restarted
    And act "k" is sent until it is not refused with ran "no"
    Then act "k" ran 1 times

  Scenario Outline: The connection breaks before or after the request is read
    The connection to an endpoint breaks, and the owner cannot know whether
    the act ran. The caller is told so, and a repeat must not send it again.

    Given the endpoints have the fault <fault> for 1 calls
    When act "k" is sent through instance 0
    Then act response 1 is refused with ran "unknown"
    When act "k" is sent through instance 1
    Then act response 2 is refused with ran "unknown"
    And act "k" ran <runs> times

    Examples:
      | fault         | runs |
      | refuse_before | 0    |
      | lose_answers  | 1    |

  Scenario: A kept-alive connection closes during a PUT
    HTTP libraries send PUT and DELETE again by themselves when a reused
    connection closes. The act would run twice.

    Given each endpoint has answered an idempotent PUT and a PUT act
    And the endpoints have the fault lose_answers for 1 calls
    When act "k" is sent as PUT
    Then act response 1 is refused with ran "unknown"
    And act "k" ran 1 times

  Scenario: The service answers with a redirect
    HTTP libraries follow redirects by themselves and send the body again. The
    act would run at two endpoints, and the caller would see one response.

    Given the endpoints redirect to each other
    When act "k" is sent through instance 0
    Then act response 1 has status 307
    And act "k" ran 1 times

  Scenario: The service hangs
    An endpoint accepts the request and never responds. The caller is told at
    its deadline that the result is unknown, and each repeat gets the same.

    Given the endpoints hang
    When act "k" is sent with a deadline of 1 seconds
    Then act response 1 is refused with ran "unknown"
    When the endpoints work again
    And act "k" is sent through instance 1
    Then act response 2 is refused with ran "unknown"
    And act "k" ran 1 times

  Scenario: A repeat has a shorter deadline than the first request
    A caller repeats a request that is still running, with a short deadline.
    It is answered at its own deadline, not at that of the first request.

    Given the endpoints take 4.0 seconds per call
    When act "k" is started through non-owner 0
    And act "k" has reached an endpoint
    And act "k" is sent with a deadline of 0.3 seconds
    Then act response 1 is refused with ran "unknown"
    And act response 1 arrived before that of the started act
    And act "k" ran 1 times

  Scenario: The response is larger than the log can store
    A service answers an act with more than one value of the key-value service
    can hold. Stored as it is, it could never be committed and would block all
    later turns and acts of the shard.

    When act "k" is sent with a body of 1200000 bytes
    Then act response 1 has status 200
    When act "after" is sent through instance 0
    Then act response 2 has status 200
    When act "k" is sent with a body of 1200000 bytes
    Then act response 3 is refused with ran "yes"
    When the owner of the program is killed
    And act "after" is sent through another instance
    Then act response 4 has status 200
    And act "k" ran 1 times
    And act "after" ran 1 times

  Scenario: The owner crashes after it sent the request
    The instance that sent an act crashes before the response arrives. The
    next owner finds the intent without an outcome and must not send it again.

    Given the endpoints take 2.0 seconds per call
    When act "k" is started through non-owner 0
    And act "k" has reached an endpoint
    And the owner of the program is killed
    And act "k" is sent through another instance
    Then act response 1 is refused with ran "unknown"
    And act "k" ran 1 times

  Scenario: The owner crashes before the outcome is stored
    The service has responded, the key-value service is unavailable, and the
    owner crashes before the outcome is committed. The first caller has its
    response; the next owner only knows that the request was sent.

    Given the endpoints take 1.0 seconds per call
    When act "k" is started through non-owner 0
    And act "k" has reached an endpoint
    And the key-value service is unavailable
    Then the started act is answered with status 200
    When the owner of the program is killed
    And the key-value service is available again
    And act "k" is sent through another instance
    Then act response 1 is refused with ran "unknown"
    And act "k" ran 1 times

  Scenario: The owner crashes after the intent and before sending
    The intent was written, the response to the write was lost, and the owner
    crashes. The next owner cannot know whether the request was sent, so it
    does not send it.

    Given responses to log writes are lost
    When act "k" is sent through instance 0
    Then act response 1 is refused with ran "no"
    When the owner of the program is killed
    And the key-value service is available again
    And act "k" is sent through another instance
    Then act response 2 is refused with ran "unknown"
    And act "k" ran 0 times

  Scenario: The key-value service is unavailable before the intent
    Nothing may be sent without a committed intent. The caller is told that
    the act did not run and when to retry.

    Given the key-value service is unavailable
    When act "k" is sent through instance 0
    Then act response 1 is refused with ran "no"
    And act response 1 has a Retry-After header
    And act "k" ran 0 times
    When the key-value service is available again
    And act "k" is sent until it is not refused with ran "no"
    Then act "k" ran 1 times

  Scenario Outline: The owner is paused between the intent and sending
    The owner is paused after its intent was committed, and another instance
    takes over. Then the old owner is resumed and still considers itself
    allowed to send.

    Given the endpoints <check> fencing tokens
    And writes to the key-value service take 0.6 seconds
    When act "k" is started through non-owner 0
    And the intent of act "k" has reached the key-value service
    And the owner of the program is paused
    And the key-value service is fast again
    And act "k" is sent through another instance
    Then act response 1 is refused with ran "unknown"
    When the paused owner is resumed
    Then the started act is refused
    And act "k" ran 0 times

    Examples:
      | check  |
      | check  |
      | ignore |

  Scenario: The owner is paused while it connects
    An endpoint does not accept the connection, and the owner is paused before
    it tries another endpoint. When it is resumed, it has been replaced and
    must not send the act, which its replacement has reported as unknown.

    Given no endpoint accepts connections
    When act "k" is started through non-owner 0
    And the owner of the program is connecting to an endpoint
    And the owner of the program is paused
    And the endpoints accept connections again
    And act "k" is sent through another instance
    Then act response 1 is refused with ran "unknown"
    When the paused owner is resumed
    Then the started act is refused
    And act "k" ran 0 times

  Scenario: A program that has ended accepts no acts
    A late call of a program that was ended starts an act. After a program has
    been ended, nothing of it may run any more.

    When act "k-1" is sent through instance 0
    And the program of the acts is ended
    And act "k-2" is sent through instance 0
    And act "k-1" is sent through instance 0
    Then act response 1 has status 200
    And act response 2 is refused with ran "no"
    And act response 3 has status 200
    And act "k-2" ran 0 times

  Scenario: The connection is reset within an answer without a length
    An endpoint dies within its answer, which has no length. The part before
    must not be stored as the outcome.

    Given the endpoints have the fault reset_answers for 1 calls
    When act "k" is sent through instance 0
    And act "k" is sent through another instance
    Then act response 1 is refused with ran "unknown"
    And act response 2 is refused with ran "unknown"
    And act "k" ran 1 times

  Scenario: The connection is reset within the answer to an idempotent call
    The same in a call that may run again: its caller must not get the part.

    Given the endpoints have the fault reset_answers for 1 calls
    When an idempotent call is sent
    Then act response 1 is complete
