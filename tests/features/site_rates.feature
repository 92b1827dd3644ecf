Feature: Rate limits of workspaces on the users' platform

  Background:
    Given a system on the users' platform

  Scenario: A workspace asks for more than its rate at all front ends
    Each front end by itself would allow the whole rate.

    Given a workspace "red" with key "red-key" and a rate of 5 with a burst of 5
    When 60 payments of "red" are sent to all front ends at once
    Then at most 24 of them ran, and at least 5
    And the others are answered with 429 and when to come back
    And no endpoint received the refused ones

  Scenario: Another workspace is not affected
    Given a workspace "red" with key "red-key" and a rate of 5 with a burst of 5
    And a workspace "blue" with key "blue-key" and a rate of 100 with a burst of 100
    When 60 payments of "red" are sent to all front ends at once
    And 20 payments of "blue" are sent to all front ends at once
    Then all of them ran

  Scenario: No storage instance tells whether the rate is kept
    Given a workspace "red" with key "red-key" and a rate of 5 with a burst of 5
    When every storage instance has been killed
    And 3 payments of "red" are sent to all front ends at once
    Then all of them are answered with 503 and no endpoint received them
