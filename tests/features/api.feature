Feature: The callers' interface as its page tells it
  A caller who copies a line from docs/API.md gets what the page says.

  Scenario: Every example of the page runs with the status it names
    Given the system that "make up" starts
    When the examples of docs/API.md are run one after another
    Then each has the status that stands behind it
    And there are at least 24 examples

  Scenario: The table of refusals is the code's
    When the table of refusals in docs/API.md is read
    Then it has status, ran and Retry-After of every reason
