Feature: Checkouts compared over played days
  One day played twice on the same code differs by more than most changes are
  worth. What a comparison says is only as good as its plays.

  Scenario: Two checkouts are played by turns
    Given checkouts "old" and "new" and a bench that gives them 0.70 and 0.80, more or less
    When days "calm" and "rough" are played 4 times with both
    Then each checkout was played 8 times, by turns
    And the table has 0.70 for "old" and 0.80 for "new"
    And "new" stands out
    And the plays are drawn

  Scenario: The same code twice
    Its plays differ by chance alone. Taken for a gain, a change that is worth
    nothing would be kept.

    Given checkouts "old" and "new" and a bench that gives them 0.75 and 0.75, more or less
    When days "calm" and "rough" are played 4 times with both
    Then "new" does not stand out

  Scenario: A day that broke a rule
    Given checkouts "old" and "new" and a bench that gives them 0.70 and 0.80, more or less
    And the bench finds that "new" breaks "BUDGET"
    When days "calm" and "rough" are played 4 times with both
    Then the table says that "BUDGET" was broken
