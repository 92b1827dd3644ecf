Feature: Watches of the store that go on at another storage instance
  A front end goes on behind the revision that it knows, whichever instance it
  asks. One that doesn't know all changes since then must not pass for one that
  does: the front end would call endpoints that are gone.

  Scenario: Instances restart, lose the store or fall silent at any time
    The store forgets its history, too, and entries come and go meanwhile.

    Given 6 front ends and 4 storage instances that remember 3 changes
    When in 40 seeded plays entries change while instances fail
    Then all front ends know the entries as they are, 15 seconds after the last fault
    And each way to fail came up in 100 places or more
