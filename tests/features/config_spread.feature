Feature: A configuration is distributed and never reverted
  An accepted configuration is in force everywhere within seconds and is never
  reverted.

  Scenario: Two operators change the same document at once
    Both read the same number and send a change, each to another instance. If
    both were accepted, one change would be lost silently.

    Given a system of three failure domains
    When two operators apply changes through instances 0 and 5 at once
    Then one is accepted and one gets a conflict
    And every instance has the accepted change in force

  Scenario: The response to the write is lost
    The change is stored and the response is lost. The operator must not get a
    failure, and the change must not be stored twice.

    Given a system of three failure domains
    When responses to writes of "rm/live/config" are lost 1 times
    And an operator applies a change through instance 2
    Then the change is accepted
    And every instance has the accepted change in force

  Scenario: The service fails right after the change
    Only the instance that stored the change can have seen it. The others must
    receive it from their peers while the service is still unavailable.

    Given a system of three failure domains
    When failure domains 1 and 2 are partitioned from the service
    And an operator applies a change through instance 0
    And the key-value service stops responding
    Then every instance has the accepted change in force

  Scenario: A failure domain is partitioned from the service during changes
    It receives several changes from other domains. When the service is
    reachable again, no instance may revert, not even temporarily.

    Given a system of three failure domains
    And the numbers in force are watched at each instance
    When failure domain 2 is cut off from the service
    And an operator applies a change through instance 0
    And an operator applies a change through instance 2
    Then every instance has the accepted change in force
    When all partitions end
    And an operator applies a change through instance 5
    Then every instance has the accepted change in force
    And no instance ever reverted to a lower number

  Scenario: An instance resumes with an old view
    It was paused during a change, and the service is unavailable when it
    resumes.

    Given a system of three failure domains
    When instance 3 is paused
    And an operator applies a change through instance 0
    And the key-value service stops responding
    And instance 3 resumes
    Then every instance has the accepted change in force

  Scenario: An instance starts while the service is unreachable
    It knows no peer, but its peers still know its address. It must not accept
    calls with its default configuration: it is ready once a peer has sent it
    the one in force.

    Given a system of three failure domains
    When instance 5 dies
    And an operator applies a change through instance 0
    And instance 5 starts while it cannot reach the service
    Then every instance has the accepted change in force
    And instance 5 was never ready with another number

  Scenario: The service is restored from a backup
    Its document is older than the one in force. Instances that adopted it would
    revert changes that were reported as accepted.

    Given a system of three failure domains
    When an operator applies a change through instance 0
    And every instance has it in force before the service is set back by one
    And an operator applies a change through instance 4
    Then every instance has the accepted change in force
    And its number is two above the one that was set back
    And no instance ever reverted to a lower number
