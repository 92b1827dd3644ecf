Feature: What storage instances fetch of each other
  Each follows all others all the time, so what one of them took in is told
  eleven times on a grown deployment.

  Scenario: A long program among many storage instances
    Each of its turns made all holders of its account send each other the
    whole account, every use of it, and all storage instances its place. That
    took more of them than the turn's own reservation.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program reserves 10 turns, and all follow each other after each
    Then its last turn made them fetch no more than 1000 bytes
    When it reserves 90 turns more, and all follow each other after each
    Then its last turn made them fetch no more than 1000 bytes
    And all holders know the same uses

  Scenario: A long conversation among many storage instances
    Each of its turns is told to eleven others by all that have it, and each
    of these worked out anew, for each turn and teller, whether it is to hold
    it: a tenth of its processor time.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When 20 turns of a conversation are kept, and all follow each other after each
    Then who is to hold it was worked out once for each failure domain

  Scenario: A storage instance whose disk was lost
    It writes down where all accounts of an hour are. With a sync for each,
    one after the other, that takes a minute in which it opens none.

    Given 3 storage instances in 3 failure domains
    When 200 programs have begun, and the disk of one instance is lost
    And it has followed the others
    Then it knows where all accounts are, and has written no more than 20 times

  Scenario: A holder that has missed turns
    It knows another digest than the others and needs what it has missed, or a
    majority with it forgets them.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program reserves 3 turns, and all follow each other after each
    And a holder is cut off while it reserves 2 turns more
    And all reach each other and follow each other
    Then all holders know the same uses

  Scenario: The account that differs can't be fetched just then
    If the holder went on behind it all the same, it would not hear of it
    again before the next turn.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program reserves 3 turns, and all follow each other after each
    And a holder is cut off while it reserves 2 turns more
    And all reach each other, but accounts are not handed over, and follow each other
    And all reach each other and follow each other
    Then all holders know the same uses

  Scenario: A holder whose part was given back since
    The uses are the same; how much may be granted is not.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program reserves 3 turns, and all follow each other after each
    And one holder knows of 5 tokens that were given back
    And the program has another turn, and all follow each other
    Then all holders know of the 5 tokens
