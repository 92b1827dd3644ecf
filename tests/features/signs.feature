Feature: Signs of life of storage instances
  Fronts ask a few storage instances whether they are there. What a front
  believes of one, or of a failure domain, must be as current as if it asked all.

  Scenario Outline: Many storage instances
    Each front and storage instance had five messages a second between them,
    which took a third of what the storage instances did at all.

    Given a front and <count> storage instances in <domains> failure domains
    When it has asked for signs of life for 60 seconds
    Then it asked at most 5 times a second and domain, and each other one at most twice a second
    And it took no domain for silent and no storage instance for away

    Examples:
      | count | domains |
      | 3     | 3       |
      | 12    | 4       |
      | 24    | 3       |

  Scenario: A storage instance dies
    Given a front and 12 storage instances in 4 failure domains
    When one of them dies, 50 times at moments of its own
    Then it is taken for away within 1.2 seconds
    And no domain was taken for silent

  Scenario: A failure domain is cut off
    Given a front and 12 storage instances in 4 failure domains
    When one domain is cut off, 50 times at moments of its own
    Then the domain has been silent for 0.4 seconds within 0.7 seconds
    And it is heard within 0.5 seconds of the end of the cut

  Scenario Outline: More storage instances than are asked again and again
    With a message for each of them, a front at 24 sent 46 a second, and each
    storage instance that was added cost all fronts.

    Given a front and <count> storage instances in 3 failure domains
    When it has asked for signs of life for 60 seconds
    Then it asked at most 27 times a second
    And it took no domain for silent and no storage instance for away

    Examples:
      | count |
      | 9     |
      | 12    |
      | 24    |
      | 48    |

  Scenario: A storage instance dies of which nothing was to be heard
    It is not asked for signs of life. The first request that needs it must not
    wait out its time there, nor the next ones.

    Given a front and 24 storage instances in 3 failure domains
    When one of them dies and is needed 2.0 seconds later, 50 times
    Then the request has got on within 0.25 seconds
    And it is still taken for away 10 seconds later
    And no domain was taken for silent

  Scenario: The first storage instance of a domain freezes among many
    Given a front and 24 storage instances in 3 failure domains
    When the first of a domain freezes, 50 times at moments of its own
    Then it is taken for away within 1.2 seconds
    And no domain was taken for silent

  Scenario: All but one storage instance of a domain are cut off from a front
    A part of a switch. The domain is there, and its endpoints are too.

    Given a front and 24 storage instances in 3 failure domains
    When all but one of a domain are cut off, 50 times at moments of its own
    Then no domain was taken for silent

  Scenario: A failure domain with many storage instances is cut off
    Given a front and 24 storage instances in 3 failure domains
    When one domain is cut off, 50 times at moments of its own
    Then the domain has been silent for 0.4 seconds within 0.7 seconds
    And it is heard within 0.5 seconds of the end of the cut

  Scenario: Requests are answered all the time
    An answer is a sign of life as well. Crashes and changes of the list of
    storage instances still have to be heard with signs of life.

    Given a front and 12 storage instances in 3 failure domains
    When it has asked for signs of life for 60 seconds beside 60 requests a second
    Then it asked the first of each domain at most 9 times a second together
    And it was never without an answer to one for more than 0.3 seconds
    And it took no domain for silent and no storage instance for away

  Scenario: A failure domain is cut off while requests are answered
    Given a front and 12 storage instances in 3 failure domains
    And it sends 60 requests a second
    When one domain is cut off, 50 times at moments of its own
    Then the domain has been silent for 0.4 seconds within 0.7 seconds
    And it is heard within 0.5 seconds of the end of the cut

  Scenario: Fronts that ask different storage instances tell each other of crashes
    Told to one storage instance of each domain, a crash stays unknown to fronts
    that ask others, and the request that caused it goes on there.

    Given a front and 24 storage instances in 3 failure domains
    When another front tells of a crash, 50 times at moments of its own
    Then it has heard of the crash within 0.4 seconds
