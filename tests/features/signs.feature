Feature: Pings of storage instances
  Front ends ping a few storage instances. A front end's view of an instance, or
  of a failure domain, must be as current as if it pinged all of them.

  Scenario Outline: Many storage instances
    Each pair of a front end and a storage instance exchanged five messages a
    second, which took a third of all work of the storage instances.

    Given a front end and <count> storage instances in <domains> failure domains
    When it has sent pings for 60 seconds
    Then it sent at most 5 pings a second and domain, and each other instance got at most two a second
    And it considered no domain silent and no storage instance unresponsive

    Examples:
      | count | domains |
      | 3     | 3       |
      | 12    | 4       |
      | 24    | 3       |

  Scenario: A storage instance dies
    Given a front end and 12 storage instances in 4 failure domains
    When one of them dies, 50 times at random moments
    Then it is considered unresponsive within 1.2 seconds
    And no domain was considered silent

  Scenario: A failure domain is partitioned
    Given a front end and 12 storage instances in 4 failure domains
    When one domain is partitioned, 50 times at random moments
    Then the domain has been silent for 0.4 seconds within 0.7 seconds
    And it replies within 0.5 seconds of the end of the partition

  Scenario Outline: More storage instances than are pinged regularly
    With a ping to each of them, a front end with 24 of them sent 46 messages a
    second, and each added storage instance cost all front ends.

    Given a front end and <count> storage instances in 3 failure domains
    When it has sent pings for 60 seconds
    Then it sent at most 27 pings a second
    And it considered no domain silent and no storage instance unresponsive

    Examples:
      | count |
      | 9     |
      | 12    |
      | 24    |
      | 48    |

  Scenario: A storage instance that is not pinged dies
    The first request that needs it must not wait for its full timeout, nor must
    the next ones.

    Given a front end and 24 storage instances in 3 failure domains
    When one of them dies and is needed 2.0 seconds later, 50 times
    Then the request was given up within 0.25 seconds
    And it is still considered unresponsive 10 seconds later
    And no domain was considered silent

  Scenario: The first of many storage instances of a domain freezes
    Given a front end and 24 storage instances in 3 failure domains
    When the first of a domain freezes, 50 times at random moments
    Then it is considered unresponsive within 1.2 seconds
    And no domain was considered silent

  Scenario: All but one storage instance of a domain are partitioned from a front end
    A part of a switch fails. The domain and its endpoints can still be reached.

    Given a front end and 24 storage instances in 3 failure domains
    When all but one of a domain are partitioned, 50 times at random moments
    Then no domain was considered silent

  Scenario: A failure domain with many storage instances is partitioned
    Given a front end and 24 storage instances in 3 failure domains
    When one domain is partitioned, 50 times at random moments
    Then the domain has been silent for 0.4 seconds within 0.7 seconds
    And it replies within 0.5 seconds of the end of the partition

  Scenario: Requests are answered all the time
    A reply to a request proves that an instance is up, as a pong does. Crashes,
    as well as changes of the list of storage instances, arrive with pongs only.

    Given a front end and 12 storage instances in 3 failure domains
    When it has sent pings for 60 seconds beside 60 requests a second
    Then it pinged the first of each domain at most 9 times a second in total
    And it was never without a pong for more than 0.3 seconds
    And it considered no domain silent and no storage instance unresponsive

  Scenario: A failure domain is partitioned while requests are answered
    Given a front end and 12 storage instances in 3 failure domains
    And it sends 60 requests a second
    When one domain is partitioned, 50 times at random moments
    Then the domain has been silent for 0.4 seconds within 0.7 seconds
    And it replies within 0.5 seconds of the end of the partition

  Scenario: Front ends that ping different storage instances report crashes to each other
    If a crash were reported to one storage instance of each domain only, front
    ends that ping others would not learn of it, and the request that caused it
    would go on there.

    Given a front end and 24 storage instances in 3 failure domains
    When another front end reports a crash, 50 times at random moments
    Then it has received the crash within 0.4 seconds
