Feature: Kept turns on storage instances that a front has not heard of
  Each front learns of storage instances from the store, at its own time. For
  a while one keeps turns where another does not look.

  Background:
    Given a system on the users' platform
    And every front knows every storage instance

  Scenario: A front that has not heard of new storage instances
    All that it knows say that they don't have the turn. Told "no such turn",
    the caller gives up on a conversation that was answered whole.

    Given the watches of the front of "west" and of all storage instances are held back
    When a storage instance joins in each domain
    And a conversation through "east" is kept on the new ones alone
    And its next turn is sent to "west"
    Then the front of "west" had not heard of the new ones when it was asked
    And it is answered with 200
    And the runner got the whole conversation

  Scenario: A front that has not heard of new ones, and the store is silent
    Nobody that it reaches can tell it what it lacks. It must say so at once,
    while the caller still has time to ask another front.

    Given the store is silent towards the front of "west" and all storage instances
    When a storage instance joins in each domain
    And a conversation through "east" is kept on the new ones alone
    And its next turn is sent to "west"
    Then the front of "west" had not heard of the new ones when it was asked
    And it is refused with 503 for "turn_unsure" while its caller waits
    And no runner has seen it
    When the store answers all again
    Then its next turn is answered with 200 by "west", and with 503 until then
    And the runner got the whole conversation

  Scenario: A front that reads the store through instances that are late
    The store turns it away. Those that it reads through have had answers, but
    not yet the news; what they list is no proof that nobody else is there.

    Given the front of "west" reads the store through storage instances whose watches are held back
    When a storage instance joins in each domain
    And a conversation through "east" is kept on the new ones alone
    And the front of "west" takes its list for current
    And its next turn is sent to "west"
    Then the front of "west" had not heard of the new ones when it was asked
    And it is refused with 503 for "turn_unsure" while its caller waits
    And no runner has seen it
    When the store answers all again
    Then its next turn is answered with 200 by "west", and with 503 until then
    And the runner got the whole conversation

  Scenario: A turn that never was, and all are there
    Told to come back, callers would ask for it for ever.

    Then a turn after the unknown "feedfeedfeedfeed" is answered with 404 at every front
