Feature: Connections to the platform's store
  Each call that fails without a cause delays what a process learns. A write that
  is sent twice may take effect twice.

  Scenario: Calls in turn use one connection
    Guards against a connection for each call, which would double the time of
    each call and use up the store's descriptors.

    Given a store that answers each call
    When 5 reads and 5 writes are made in turn
    Then all have replies
    And they used 1 connection

  Scenario: Calls at the same time do not wait for each other
    A watch waits for seconds. A lease renewal behind it would be too late.

    Given a store that answers each call
    When a read waits while 3 writes are made
    Then all have replies
    And they used 2 connections

  Scenario Outline: The store ends a connection
    Stores close idle connections at any time, also while the next call is on its
    way. A read can be repeated, a write may have taken effect.

    Given a store that ends connections <when>
    When a read and then a <call> are made
    Then the <call> <outcome>
    And the store received it <times>

    Examples:
      | when                        | call  | outcome       | times |
      | while they are idle         | read  | has a reply   | once  |
      | while they are idle         | write | has a reply   | once  |
      | at the second call          | read  | has a reply   | twice |
      | at the second call          | write | has no reply  | once  |
      | at every call but the first | read  | has no reply  | twice |

  Scenario Outline: A response arrives that no call asked for
    Guards against a reply that is taken for the one of the next call: a process
    would act on another key's value.

    Given a store that sends each response twice, <how>
    When 5 reads and 5 writes are made in turn
    Then each has its own reply

    Examples:
      | how     |
      | at once |
      | apart   |

  Scenario: A call that its caller gave up
    Its response may still arrive, and must not be taken for the next call's.

    Given a store that answers each call
    When a read is cancelled before its response, and another one is made
    Then each has its own reply

  Scenario Outline: A response that is not whole, or none
    Guards against errors that end the task which follows the store.

    Given a store that answers with <answer>
    When a write is made
    Then it has no reply

    Examples:
      | answer                      |
      | a body that is cut off      |
      | a chunk that is cut off     |
      | no HTTP                     |
      | a wrong revision            |
      | a head without an end       |
      | nothing within its time     |

  Scenario: Nothing listens at the store's address
    Given no store
    When a write is made
    Then it has no reply

  Scenario: Responses arrive in pieces
    Then responses of any framing, cut anywhere, give the same reply

  Scenario Outline: A response without an end
    Guards against a store that holds up all other work of a process, and fills
    its memory, for as long as a call may take.

    Given a store that sends <what> without an end
    When a read is made
    Then it has no reply, because of too many bytes of <part>
    And the store could send at most 32 MB of it

    Examples:
      | what                   | part    |
      | interim responses      | framing |
      | header lines           | framing |
      | one header line        | framing |
      | a body without length  | body    |
      | a body of 1 GB         | body    |
      | chunks                 | body    |
      | chunks of one byte     | framing |
      | chunks with extensions | framing |
      | a chunk extension      | framing |
      | trailers               | framing |

  Scenario Outline: The largest response that the store may send
    Guards against a bound that refuses it: its values would never be known.

    Given a store that sends the largest body <how>
    When a read is made
    Then it has the largest body as its reply

    Examples:
      | how               |
      | with a length     |
      | without length    |
      | in chunks of 1 kB |

  Scenario: A response of many parts
    Guards against a process that does nothing else until it has parsed all that
    has arrived of a response.

    Given a store that sends a body in 5000 chunks of one byte
    When a read is made
    Then others had a turn after 64 parts at most

  Scenario: Bytes without an end on an idle connection
    Guards against a process that buffers whatever arrives between calls.

    Given a store that goes on sending after its response
    When a read is made and the store has sent for 3000 turns
    Then the process holds at most 1 MB of it
