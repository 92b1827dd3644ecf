Feature: A failure domain that gets out of reach of a front
  Nothing comes back from it, not even an error. What is placed there, and what
  waits there, is lost until the cut ends, seconds later.

  Scenario: A domain is cut off while calls run there
    Its storage instances miss their signs of life, its endpoints send nothing
    more. Callers of streams would wait for two seconds until they give up.

    Given a front that hears domains "west, north" every 50 ms
    When "west" is cut off for 2 seconds
    Then "west" was taken for cut off within 700 ms
    And "north" was not taken for cut off
    When all is well for 1 second
    Then no domain is taken for cut off

  Scenario: Only the storage instances of a domain are down
    Its endpoints work. Taken for cut off, a third of all endpoints would stand
    idle until the storage instances are back.

    Given a front that hears domains "west, north" every 50 ms
    When the storage instances of "west" are down for 3 seconds
    Then "west" was not taken for cut off

  Scenario: Only the storage instances are down, and nothing runs there
    Given a front that has no calls in domains "west, north"
    When the storage instances of "west" are down for 3 seconds
    Then "west" was not taken for cut off

  Scenario: What waits for a domain that is cut off
    A stream is broken off at once, so that its caller sends the turn again. A
    payment waits: its answer may come when the cut is over, and nobody may
    send it a second time.

    Given an endpoint of "west" that takes requests and is silent
    When a stream and a payment wait for it and "west" is cut off
    Then the stream is given up at once
    And the payment waits on

  Scenario: Nothing is placed into a cut
    A payment that is sent there may run, and its caller's program fails.

    Given endpoints in "east", "west" and "north", of which the one in "west" is the fastest
    When "west" has been taken for cut off
    Then 50 payments from "east" are placed in "east" and "north" only
    When "east, west, north" have been taken for cut off
    Then a payment is refused at once as not run, with a time to come back
