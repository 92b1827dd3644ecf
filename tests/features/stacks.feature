Feature: Tests do not fail one another
  Several features run at the same time on one machine, and the scenarios of a
  feature share a system. What one of them does must not make others fail.

  Scenario: The port of a process that has ended
    An engine is killed and started again later at its old address. Another
    system that looks for free ports meanwhile must not take its port.

    Given a system with an engine
    When its engine is killed
    Then no other system is given the engine's port
    And the engine starts again at its old address
