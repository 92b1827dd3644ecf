Feature: Replication between storage instances
  Each instance follows all others all the time, so each change is reported
  eleven times on a grown deployment.

  Scenario: A long program among many storage instances
    For each of its turns all holders of its account sent each other the whole
    account, each of its uses, and all storage instances its place. That cost
    them more than the turn's own reservation.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program reserves 10 turns, and all follow each other after each
    Then its last turn made them fetch no more than 1000 bytes
    When it reserves 90 turns more, and all follow each other after each
    Then its last turn made them fetch no more than 1000 bytes
    And all holders know the same uses

  Scenario: A long conversation among many storage instances
    Each of its turns is reported to eleven instances by all that hold it. Each
    of these computed anew, for each turn and report, whether it has to hold the
    turn: a tenth of its processor time.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When 20 turns of a conversation are kept, and all follow each other after each
    Then the holder was computed once for each failure domain

  Scenario: A storage instance whose disk was lost
    It writes the homes of all accounts of an hour. With a sync for each, one
    after the other, that takes a minute in which it opens no account.

    Given 3 storage instances in 3 failure domains
    When 200 programs have begun, and the disk of one instance is lost
    And it has followed the others
    Then it knows the homes of all accounts, and has written no more than 20 times

  Scenario: A holder that has missed turns
    Its digest differs from that of the others, and it needs the turns that it
    has missed: otherwise a majority that includes it lacks them.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program reserves 3 turns, and all follow each other after each
    And a holder is partitioned while it reserves 2 turns more
    And all reach each other and follow each other
    Then all holders know the same uses

  Scenario: Fetching the account that differs fails
    If the holder advanced its position all the same, it would not get the
    account again before the next turn.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program reserves 3 turns, and all follow each other after each
    And a holder is partitioned while it reserves 2 turns more
    And all reach each other, but replies with accounts are lost, and follow each other
    And all reach each other and follow each other
    Then all holders know the same uses

  Scenario: A holder whose share was given back in the meantime
    The uses are the same; the amount that may be granted is not.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program reserves 3 turns, and all follow each other after each
    And one holder knows of 5 tokens that were given back
    And the program has another turn, and all follow each other
    Then all holders know of the 5 tokens

  Scenario: Only part of the turns and accounts that are asked for is sent
    The list that a page was fetched for names more. If the instance went on
    behind it, it would never get the rest, and yet count as having it.

    Given 3 storage instances in 3 failure domains
    When 20 turns of a conversation are kept, and all follow each other after each
    And 5 programs have begun, and the disk of one instance is lost
    And it follows the others, and the first replies have half of what it asks for
    Then it has not followed any instance to the end
    When it has followed the others again
    Then it has all turns and accounts that the others know

  Scenario: Other turns are to be held here while changes are fetched
    Another instance of the domain has been killed. If the position of the
    fetched changes counted, the turns before it would not be read again, and
    after the next lost disk the chain would lack them.

    Given 12 storage instances in 3 failure domains, two of which may lose their disks at once
    When 20 turns of a conversation are kept, and all follow each other after each
    And one that holds them is killed, which the next one notices while it asks for changes
    And all follow each other
    Then the next one holds all 20 turns

  Scenario: Long turns are fetched
    Guards against a message that is longer than a connection carries: it would
    be lost each time, and the instance would never have all turns.

    Given 3 storage instances in 3 failure domains
    When 12 turns of 2 MB are kept, and all follow each other
    And 5 programs have begun, and the disk of one instance is lost
    And it follows the others twice
    Then no message had more than 16 MB of turns
    And it has all turns and accounts that the others know
