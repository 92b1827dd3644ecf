Feature: Requests on the users' platform
  Runs real processes against stand-ins of the platform's store and endpoints
  that follow its published protocol.

  Background:
    Given a system on the users' platform

  Scenario: A turn continues another through another front end
    A caller's next turn reaches whichever front end the balancer picks. The
    endpoint must get the whole conversation, byte for byte.

    When a turn "one " of program "p1" is sent to "east"
    Then it is answered with 200
    When the next turn "two" of program "p1" is sent to "west"
    Then it is answered with 200
    And the endpoint received the first turn's input and events, and then "two"

  Scenario: An unknown turn is continued
    When a turn that continues the unknown turn "feedfeedfeedfeed" is sent to "east"
    Then it is answered with 404
    And no endpoint received it

  Scenario: All front ends share one budget
    A program sends turns through every front end. Each front end by itself
    would allow the whole budget.

    When turns of program "p3" with a budget of 100 tokens, 40 at most each, are sent to all front ends until one is refused
    Then the earlier turns used at most 100 tokens
    And it is answered with 402
    And no endpoint received it

  Scenario: Headers that only the system may set
    A caller forges a reservation and a pin. If they were forwarded, an
    endpoint would hold its memory for that caller, or run the request ahead of
    all others.

    When a turn with forged headers is sent to "east"
    Then it is answered with 200
    And the endpoint received none of the forged headers

  Scenario: An endpoint that sheds a request has not run it
    Given endpoint "desk-0" has the faults "shed", "shed", "shed"
    When 3 payments are sent to "east"
    Then all are answered with 200
    And each payment ran once

  Scenario: The response to a payment is lost
    The endpoint books the deposit and its connection is reset. If the payment
    were sent again, the family would be charged twice; if the caller were told
    that it has not run, it would pay again itself.

    Given every desk endpoint has the fault "mute"
    When a payment is sent to "east"
    Then it is answered with 502
    And it ran once

  Scenario: A look-up whose response is lost is retried on another endpoint
    When look-ups are sent to "east" until a desk endpoint has lost its response
    Then it is answered with 200

  Scenario Outline: A response that is incomplete or not the endpoint's own
    If it were forwarded, the caller would mistake half a response, another's,
    or one that was changed on its way, for its own.

    Given every desk endpoint has the fault "<fault>"
    When a payment is sent to "east"
    Then it is answered with 502

    Examples:
      | fault          |
      | cut            |
      | unframed_reset |
      | unsigned       |
      | encoded        |

  Scenario Outline: A response that belongs to another request
    Given every desk endpoint has the fault "<fault>"
    When 4 payments are sent to "east"
    Then all are answered with 200
    And each response names the endpoint that ran it

    Examples:
      | fault         |
      | foreign       |
      | foreign_apart |
      | extra         |

  Scenario: A resumable stream is cut in the middle of an event
    Given every engine has the fault "cut"
    When a plan is sent to "east"
    Then it is answered with 200
    And its events are 1 to 4, each once

  Scenario: A stream that is not resumable does not look complete
    Given every engine has the fault "cut"
    When a turn "y" of program "p5" is sent to "east"
    Then the connection ends without a complete response

  Scenario: A route times out
    Given every desk endpoint has the fault "slow"
    When a payment is sent to "east"
    Then it is answered with 504 within its route's timeout

  Scenario: A body exceeds the configured limit
    When a payment of 100001 bytes is sent to "east"
    Then it is answered with 413
    And no endpoint received it

  Scenario: A draining endpoint gets no more requests
    Given endpoint "desk-1" is registered as draining
    Then payments reach only "desk-0, desk-2" within 2 seconds

  Scenario: An entry that names no endpoint
    A faulty writer puts entries into the list of endpoints. If they were used,
    requests would go nowhere; if they ended the list, all endpoints would be
    lost.

    Given forged entries among the registered endpoints
    When 3 payments are sent to "west"
    Then all are answered with 200

  Scenario: The store compacts its history and changes meanwhile
    Given the store compacts its history and gets a configuration that limits bodies to 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front end

  Scenario: A caller's connection stays idle
    Given a configuration that closes connections idle for 300 ms
    When a caller sends a payment and keeps its connection open
    Then the connection is closed by the front end

  Scenario: A front end is terminated while a request runs
    The platform restarts a front end. Its running responses must be completed,
    while the balancer must send no more requests.

    When a payment that takes 2 seconds runs at "north" and the front end is terminated
    Then the payment is answered with 200
    And "north" is not ready
    And the front end exits by itself

  Scenario: Required settings are missing
    When a front end is started with settings that lack its addresses and have an invalid IP address
    Then it exits with 3 and names all of them

  Scenario: Settings change while a process starts
    Guards against a process that is ended by a reload signal that arrives
    before it has read its first settings.

    When the front end of "east" restarts and gets a reload signal before it has read its settings
    Then "east" becomes ready

  Scenario: Storage instances that hold a program's account are killed
    If one of three is killed, callers notice nothing. With two down, nobody
    knows what the program has used, and its turns are refused until one is
    back.

    When turns of program "p9" are sent to "west" while one holder of its account, then two, are killed and restarted
    Then the program has used no more than its budget
    And a turn is finally answered with 200
