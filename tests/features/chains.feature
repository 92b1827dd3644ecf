Feature: Chains of turns that several storage instances hold in part
  An endpoint reads the whole conversation or nothing: it would answer a part of
  it as if that were all.

  Scenario: Links are at any instances, which may be down, or send a part
    Other chains branch off from the same turns, and the front end has some
    turns of its own.

    Given 5 storage instances in 3 failure domains
    When 400 times a chain is scattered over them and read
    Then each chain came whole and in order, or was not given out
    And each chain whose links were all at instances that reply came whole
    And none was denied that an instance holds
    And each outcome came up 20 times or more
