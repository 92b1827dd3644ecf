Feature: A configuration spreads and stays
  An accepted configuration is in force everywhere within seconds and never
  goes back.

  Scenario: Two operators change the same document at once
    Each reads the same number and sends a change to another instance. If both
    were accepted, one of them would silently lose the change.

    Given a system of three failure domains
    When two operators apply changes through instances 0 and 5 at once
    Then one is accepted and one is told of the conflict
    And every instance has the accepted change in force

  Scenario: The answer to the write is lost
    The change is stored and its answer lost. The operator must not be told
    that it failed, nor find it stored twice.

    Given a system of three failure domains
    When responses to writes of "rm/live/config" are lost 1 times
    And an operator applies a change through instance 2
    Then the change is accepted
    And every instance has the accepted change in force

  Scenario: The service goes down right after the change
    Only the instance that stored the change can have seen it. The others
    must get it from their peers, not when the service is back.

    Given a system of three failure domains
    When failure domains 1 and 2 are cut off from the service
    And an operator applies a change through instance 0
    And the key-value service stops responding
    Then every instance has the accepted change in force

  Scenario: A failure domain is cut off from the service for several changes
    It hears of the changes from other domains. When the service can be
    reached again, no instance may go back, not even for a moment.

    Given a system of three failure domains
    And the numbers in force are watched at each instance
    When failure domain 2 is cut off from the service
    And an operator applies a change through instance 0
    And an operator applies a change through instance 2
    Then every instance has the accepted change in force
    When all partitions end
    And an operator applies a change through instance 5
    Then every instance has the accepted change in force
    And no instance ever went back to a lower number

  Scenario: An instance wakes up with an old view
    It was frozen while a change was made, and the service is away when it
    wakes up.

    Given a system of three failure domains
    When instance 3 is frozen
    And an operator applies a change through instance 0
    And the key-value service stops responding
    And instance 3 goes on
    Then every instance has the accepted change in force

  Scenario: An instance starts and cannot reach the service
    It knows nobody, but its peers still know its address. It must not take
    calls with a configuration of its own making: it is ready when a peer has
    told it the one in force.

    Given a system of three failure domains
    When instance 5 dies
    And an operator applies a change through instance 0
    And instance 5 starts while it cannot reach the service
    Then every instance has the accepted change in force
    And instance 5 was never ready with another number

  Scenario: The service is restored from a backup
    Its document is older than the one in force. Instances that took it would
    revert what operators were told is accepted.

    Given a system of three failure domains
    When an operator applies a change through instance 0
    And every instance has it in force before the service is set back by one
    And an operator applies a change through instance 4
    Then every instance has the accepted change in force
    And its number is two above the one that was set back
    And no instance ever went back to a lower number
