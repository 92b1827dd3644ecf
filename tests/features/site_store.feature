Feature: The platform's store misbehaves
  What a front does follows from what it last heard of the store.

  Background:
    Given a system on the users' platform

  Scenario: Waiting watches go silent
    Their connections stay open, but nothing comes any more, while new calls
    are answered. A front that trusts them works by old rules for ever.

    When all waiting watches go silent
    And bodies are bounded at 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front

  Scenario: The store turns one front away
    It serves everybody else, the operators too. Their next change must be in
    force at that front as well.

    When the store turns the front of "east" away
    And bodies are bounded at 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front
    And the front of "east" read the store through a storage instance

  Scenario: No storage instance answers
    Fronts read the store through them. With all of them down, the operators'
    next change must be in force all the same.

    When all storage instances are killed
    And bodies are bounded at 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front
    And the front of "east" reads the store directly

  Scenario: A storage instance does not hear the store any more
    It has not noticed yet, and tells those that ask it that nothing is new. A
    front that believes only this one works by old rules.

    When the store is silent towards the storage instance of "east"
    And bodies are bounded at 50 bytes
    Then a payment of 51 bytes is answered with 413 at every front
    And the storage instance of "east" had not noticed

  Scenario: Runners' entries lapse while the store is away
    The runners live and work, but could not renew. Taken for gone, they leave
    callers with nobody to ask; kept for ever, calls go where nobody is.

    When the store is away and the entries of the desks lapse
    Then payments at every front are answered with 200
    When the store is back, and so are the entries of "desk-0, desk-1"
    Then no front has taken "desk-0, desk-1" for gone
    And payments at every front are answered with 200
    And payments reach only "desk-0, desk-1" within 10 seconds
