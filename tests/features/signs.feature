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
