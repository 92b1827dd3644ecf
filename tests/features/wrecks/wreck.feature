Feature: Scenarios that fail on purpose
  Run by stacks.feature only.

  Scenario: One is wrecked
    Given a system to be wrecked
    When its key-value service dies
    Then a check fails with "the first cause"

  Scenario: Another is well
    Given a system to be wrecked
    Then its key-value service answers

  Scenario: A flood
    Given a system to be wrecked
    When much is printed
    Then a check fails with "a later failure"
