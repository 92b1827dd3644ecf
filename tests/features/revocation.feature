Feature: The age of a configuration
  A revoked key must be refused within a bound everywhere, even by a front end
  that hears nothing. So each front end must know how old its configuration is,
  and may believe it to be older but never newer than it is.

  Scenario: A front end never takes its configuration for newer than it is
    Guards against keys that are accepted after the bound: what is read is late,
    lost, or relayed by a storage instance that lags, and processes stop for a
    while.

    Given 60 random histories of revocations, delays, outages and stops
    When a front end reads the configuration through storage instances
    Then it never accepts a key that was revoked more than 5 seconds ago
    And it accepts the valid key most of the time

  Scenario Outline: The check notices a wrong age
    Given 60 random histories of revocations, delays, outages and stops
    When a front end reads the configuration and counts its age from <start>
    Then it accepts a key that was revoked more than 5 seconds ago

    Examples:
      | start                             |
      | the arrival of the answer         |
      | the arrival of the relayed answer |
