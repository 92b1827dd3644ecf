Feature: Metrics of processes on the users' platform
  The platform reads them over HTTP at each process. What exposes them is loaded
  when they are first read.

  Background:
    Given a system on the users' platform

  Scenario: Metrics of processes that have served
    Guards against processes that listen soon and lose what they counted until
    then, or cannot load what exposes their metrics any more.

    When its processes have served a payment at each front end
    Then their metrics can be read, twice on one connection
    And an unknown path, another method and no HTTP are refused there
