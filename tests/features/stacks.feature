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

  Scenario: A scenario leaves a wreck behind
    A scenario breaks off while a stand-in is dead. The scenarios after it
    failed at it, the output did not tell of the stand-in, and the first
    failure was cut from the output, so that its cause could not be found.

    When a feature runs whose first scenario leaves a wreck behind
    Then its second scenario passes
    And the output tells how the stand-in ended
    And the output shows the first failure and its place
