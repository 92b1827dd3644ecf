Feature: Exchange of load reports, on the users' platform
  The exchange runs over real sockets, with a storage instance as collector that
  also does all its other work.

  Background:
    Given a system on the users' platform

  Scenario: What one front end hears reaches another one
    Without it each front end places calls by its own few reports. After a
    restart of the collector it must go on by itself, or the whole domain would
    be without reports until its front ends are restarted.

    When two front ends of domain "east" receive responses all the time
    And one of them receives a load of "engine-1"
    Then the other one is told of it and of its age
    When the storage instance in "east" is killed and started again
    And one of them receives a load of "engine-2"
    Then the other one is told of it and of its age
    And a storage instance of another domain was not asked
    And the system's own front ends and storage instances report no error
