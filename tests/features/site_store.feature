Feature: Faults of the platform's store
  What a front end does depends on the last state that it got from the store.

  Background:
    Given a system on the users' platform

  Scenario: Another run uses the same addresses
    Guards against two test runs that use each other's processes and fail with
    all kinds of messages.

    Then a second system on the same addresses reports that they are taken

  Scenario: Open watches stop delivering
    Their connections stay open, but deliver nothing any more, while new
    requests are answered. A front end that relies on them would use an outdated
    configuration forever.

    When all open watches stop delivering
    And bodies are limited to 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front end

  Scenario: The store rejects one front end
    It serves all others, including the operators. Their next change must take
    effect at that front end as well.

    When the store rejects the front end of "east"
    And bodies are limited to 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front end
    And the front end of "east" read the store through a storage instance

  Scenario: No storage instance responds
    Front ends read the store through them. With all of them down, the
    operators' next change must still take effect.

    When all storage instances are killed
    And bodies are limited to 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front end
    And the front end of "east" reads the store directly

  Scenario: A storage instance gets no more changes from the store
    It has not noticed yet, and reports that there are no changes. A front end
    that relies on this one alone would use an outdated configuration.

    When the store does not respond to the storage instance of "east"
    And bodies are limited to 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front end
    And the storage instance of "east" had not noticed

  Scenario: The store sends a storage instance bytes without an end
    Guards against an instance that reads them for as long as its calls may
    take, which uses up its processor and its memory.

    When the store sends the storage instance of "east" bytes without an end
    And bodies are limited to 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front end
    And the storage instance of "east" gives up such responses
    And the storage instance of "east" has used at most 150 MB

  Scenario: Endpoints' entries expire while the store is unreachable
    The endpoints are running, but could not renew their entries. If they were
    removed, callers would have no endpoint; if they were kept forever, calls
    would be sent to endpoints that no longer exist.

    When the store is unreachable and the entries of the desk endpoints expire
    Then payments at every front end are answered with 200
    When the store and the entries of "desk-0, desk-1" are back
    Then no front end has removed "desk-0, desk-1"
    And payments at every front end are answered with 200
    And payments reach only "desk-0, desk-1" within 10 seconds
