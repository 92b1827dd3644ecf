Feature: Requests between instances
  Storage instances and front ends send each other a few hundred small requests
  a second. The transport is most of the cost of each.

  Scenario: Many small requests
    A storage instance of a large deployment answers 400 requests a second. Each
    one passed through three futures on each side, which took half of the
    instance's processor time.

    Given a peer that answers requests
    When 100 requests are sent to it in sequence
    Then each gets its own reply
    And the event loop took no more than 4 steps for each

  Scenario: Many small requests that are answered immediately
    Pings, the use of turns and reads of the change log are two thirds of the
    requests to a storage instance. Each one had its own event loop task.

    Given a peer that answers requests immediately
    When 100 requests are sent to it in sequence
    Then each gets its own reply
    And the event loop took no more than 2 steps for each

  Scenario: Many concurrent requests
    Replies arrive out of order. A reply that is matched to the wrong request
    would give a budget reservation to the wrong turn.

    Given a peer that answers the last requests first
    When 50 requests are sent to it concurrently
    Then each gets its own reply

  Scenario: A long message
    The chain of turns of a long conversation arrives in many pieces.

    Given a peer that answers requests
    When a request and a reply of 5000000 bytes are sent
    Then each gets its own reply

  Scenario: The longest message
    Guards against a bound that refuses it: its chain could not be continued.

    Given a peer that answers requests
    When a request and a reply of 60000000 bytes are sent
    Then each gets its own reply

  Scenario: A request without an end
    Guards against an instance that buffers it until its memory is used up.

    Given a peer that answers requests
    When a connection to it announces a message of 3 GB and begins to send it
    Then the connection is closed before 32 MB are sent
    And the next request gets a reply

  Scenario: A reply without an end
    Guards against a client that buffers it until its memory is used up.

    Given a peer that replies with a message of 3 GB
    When a request to it times out
    Then the connection is closed before 32 MB are sent

  Scenario: A peer that is not listening yet
    A request that timed out before the peer was listening must not reach it
    later: a turn would hold a budget reservation that no instance knows of.

    Given a peer that is not listening yet
    When a request to it times out and it begins to listen
    Then it received no request
    And the next request gets a reply

  Scenario: A peer that begins to listen during a request
    A storage instance restarts within milliseconds, so its clients do not need
    to send their requests again.

    Given a peer that is not listening yet
    When it begins to listen during a request
    Then each gets its own reply

  Scenario: A connection that is made while a message is encoded
    Guards against a message that waits for an event of a connection which is
    already established.

    Given a peer that answers requests
    When the first requests of 400 connections take up to 1 ms to encode
    Then each gets its own reply

  Scenario: A connection that is made between two requests
    Guards against a message that waits for a connection and is not sent after
    the next message was sent.

    Given a peer that answers all requests except those it holds
    When 800 connections send a request and, up to 3 ms later, a held request
    Then each gets its own reply

  Scenario: A peer that restarts
    Its connections are closed. A client that kept using an old one would
    consider the peer unresponsive.

    Given a peer that answers requests
    When 1 requests are sent to it in sequence
    And the peer restarts
    And 1 requests are sent to it in sequence
    Then each gets its own reply

  Scenario: A connection that drops all data
    A partition drops what is sent without an error. The next request must not
    wait behind it.

    Given a peer whose first connection drops all data
    When a request to it times out
    Then the next request gets a reply

  Scenario: A request that fails
    An exception in the handler must be reported, and must not fail the other
    requests that wait on the same connection.

    Given a peer that answers all requests immediately except one
    When the excepted request is sent and times out
    Then the exception is reported
    And the next request gets a reply

  Scenario: A long request for which there is no memory
    Guards against a client that waits for the timeout of a request that is
    known not to be served.

    Given a peer with memory for 1000000 bytes of long requests
    When requests to it of 500000, 200000 and 100000 bytes have arrived in part
    Then a request of 300000 bytes is refused at once
    And the next request gets a reply
    When the others have arrived as a whole
    Then all of them and a request of 300000 bytes get their own replies

  Scenario: More connections than a peer takes
    Guards against connections that use up the descriptors of an instance.

    Given a peer that takes 20 connections
    When a request is sent to it, and 60 connections to it are opened
    Then it closes all but 19 of these
    And the next request gets a reply
    When these are closed and 10 others are opened
    Then it closes none of these

  Scenario: What arrives without being read
    Guards against a kernel that holds megabytes for each of many connections.

    Given a peer that takes 20 connections
    When a request is sent to it, and 10 connections to it are opened
    Then it closes all but 10 of these
    And at most 64 KB arrive on each of them before they are read

  Scenario: A descriptor that belongs to another connection by now
    Guards against the end of a caller's connection in place of another one that
    was too many.

    Given a peer that answers requests
    Then a connection of another port is not shut down by its descriptor
    And neither is a file, nor a descriptor that is closed
