Feature: Reads of the platform's instance list that fail
  Endpoints that a list leaves out count as gone.

  Scenario Outline: A read that does not bring the whole list
    The body of an error may look like a list, and a list may be cut off.

    Given a list of 2 endpoints that was read
    When the next read <fault>
    Then both endpoints are still known

    Examples:
      | fault                              |
      | fails with a body that has no list |
      | fails with a body that has a list  |
      | ends within the list               |
