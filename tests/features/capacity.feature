Feature: The capacity page says what was measured
  Figures on a page go stale when the data behind them is measured anew.

  Scenario: The page's tables come from the stored data
    Given the stored slopes
    When the tables of the capacity page are made from them
    Then the capacity page has just these tables

  Scenario: A line through measured points
    Given any line and points on it
    Then the fit finds the line, with no residual

  Scenario: Every slope has points enough
    Given the stored slopes
    Then each slope has at least 4 points
