Feature: Requests between instances
  Storage instances and fronts send each other some hundred small requests a
  second. What the way there takes is most of what they take.

  Scenario: Many small requests
    A storage instance of a grown deployment answers 400 a second. Each passed
    through three futures on each side, and that took half of its processor
    time.

    Given a peer that answers requests
    When 100 requests are sent to it, one after the other
    Then each has its own answer
    And the event loop took no more than 4 steps for each

  Scenario: Many small requests that need no waiting
    Signs of life, what a turn has used and what was taken in are two thirds of
    what a storage instance is asked. Each had a task of the event loop.

    Given a peer that answers requests at once
    When 100 requests are sent to it, one after the other
    Then each has its own answer
    And the event loop took no more than 2 steps for each

  Scenario: Many requests at a time
    Answers do not come in the order of the requests; one taken for another
    would give a permission to the wrong turn.

    Given a peer that answers requests, late ones first
    When 50 requests are sent to it at once
    Then each has its own answer

  Scenario: A long message
    The chain of a long conversation comes in many pieces.

    Given a peer that answers requests
    When a request and an answer of 5000000 bytes are sent
    Then each has its own answer

  Scenario: A peer that is not there yet
    What was asked before it was there, and given up, must not reach it later:
    a turn would hold a permission that nobody knows of.

    Given a peer that does not listen yet
    When it is asked in vain, and begins to listen then
    Then it is asked for nothing
    And the next request is answered

  Scenario: A peer that comes while it is asked
    A storage instance starts again within milliseconds; its askers do not
    have to begin anew.

    Given a peer that does not listen yet
    When it is asked, and begins to listen meanwhile
    Then each has its own answer

  Scenario: A connection that is made while a message is encoded
    Guards against a message that waits for word of a connection which has been
    there all along.

    Given a peer that answers requests
    When the first requests of 400 connections take up to 1 ms to encode
    Then each has its own answer

  Scenario: A connection that is made between two requests
    Guards against a message that waits for a connection and is forgotten when
    the next one goes out.

    Given a peer that answers requests, but for some that it holds back
    When 800 connections begin with a request and, up to 3 ms later, a held one
    Then each has its own answer

  Scenario: A peer that starts again
    Its connections are gone. An asker that went on with an old one would take
    it for silent.

    Given a peer that answers requests
    When 1 requests are sent to it, one after the other
    And the peer starts again
    And 1 requests are sent to it, one after the other
    Then each has its own answer

  Scenario: A connection that has gone silent
    A cut swallows what is sent without a sign. The next request must not wait
    behind it.

    Given a peer whose first connection swallows all
    When it is asked in vain
    Then the next request is answered

  Scenario: A request that fails
    A fault in what answers it must show, and must not take along the others
    that wait on the same connection.

    Given a peer that answers requests at once, but for one
    When that one is sent to it in vain
    Then the fault is reported
    And the next request is answered
