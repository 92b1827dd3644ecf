Feature: Budgets and turns on the disks of storage instances
  Storage instances only have to agree on the holders of each account.
  Reservations and kept turns survive partitions, kills and one lost disk.

  Scenario: No program gets more than its budget and one turn, whatever happens
    Storage instances are partitioned from each other and from the store,
    killed, replaced, and lose a disk, while turns of one program reach each of
    them. If an account were opened twice, or a reservation lost, the program
    could spend its budget twice.

    Then no sequence of partitions, kills, lost disks and lost replies lets a program use more than its budget and one turn

  Scenario Outline: A rule of reservations that is broken on purpose
    Checks that the test of the bound detects a violation.

    When a sequence of faults that exposes the mutation "<mutation>" is run without it
    Then the program uses no more than its budget and one turn
    When it is run with the mutation
    Then the program uses more than its budget and one turn

    Examples:
      | mutation                                                       |
      | one holder counts as a majority                                |
      | an instance counts as recovered before it followed the others  |

  Scenario: An opening instance grants its share and loses its disk
    No other instance knows what it granted alone. If it set a new share aside,
    the program would get the share twice.

    When an opening instance has granted its share and lost its disk
    Then the program uses no more than its budget and one turn
    When an opening instance has granted its share and lost its disk, and opens a new share
    Then the program uses more than its budget and one turn

  Scenario: The naive version opens an account wherever a turn arrives
    Given storage instances "a, b, c, d"
    When "a, b" are partitioned from "c, d" and turns of 20 programs reach both sides
    Then no program has used more than its budget and one turn
    When the same is run with accounts that are opened without consent
    Then a program has used more than its budget and one turn

  Scenario: One storage instance and the store are unreachable
    A machine is replaced while the store is down. New programs must not wait
    for either to return.

    Given storage instances "a, b, c"
    When "c" is killed and the store is unreachable
    Then a new program gets a reservation at "a"

  Scenario: A new program in a failure domain that is cut off
    The domain's storage instance reaches no other, and the balancer sends
    callers there for some more seconds. They get a few turns out of a share of
    the budget that the others do not grant, and continue elsewhere with the
    rest.

    Given storage instances "a, b, c"
    When "a" is partitioned from "b, c" and the store is unreachable
    Then a new program gets a reservation at "a"
    And the same program gets a reservation at "b"

  Scenario: An instance that has lost its disk is cut off afterwards
    It does not know what it had granted alone before, so it grants nothing
    alone.

    Given storage instances "a, b, c"
    When "a" loses its disk and recovers from the others
    And "a" is partitioned from "b, c" and the store is unreachable
    Then a new program gets no reservation at "a"
    And the same program gets a reservation at "b"

  Scenario: A machine was replaced, and later a failure domain is cut off
    The removed instance is no longer listed. If accounts still needed its
    consent, all new programs would wait for the end of the partition.

    Given storage instances "a, b, c"
    When "a" is replaced by "d" of its domain while still listed
    And the registration of "a" expired long ago
    And "d" has followed the others
    And "c" is killed and the store is unreachable
    Then a new program gets a reservation at "b"

  Scenario: An instance whose registration has expired is alive
    It was cut off for a long time, so its consent is not required any more. An
    account that it opens when it reaches the others again must not be opened a
    second time.

    Given storage instances "a, b, c"
    When "a" is partitioned from "b, c" and the store is unreachable
    And the registration of "a" expired long ago
    Then a new program gets no reservation at "a"
    And the same program gets a reservation at "b"

  Scenario: A front end whose failure domain is cut off
    It still reaches its own storage instance, and a watch of the store waits
    there without a sign that no reply will come. While the front end reports
    that it is ready, the balancer sends it new callers that it can only refuse.

    Given a front end of "east" that reaches only the storage instance of "east"
    When the store does not reply
    Then the front end is cut off
    When the store replies
    Then the front end is not cut off

  Scenario: A front end has just started
    No storage instance has replied to it yet. If it took that for a partition,
    it would refuse new conversations, and all front ends would do so after a
    restart of all machines.

    Given a front end of "east" that reaches only the storage instance of "east"
    When the store does not reply
    Then it is not cut off 0.1 seconds after its start, and suspects no domain
    And it is cut off 1.2 seconds after its start, and suspects "west, north"

  Scenario: A new program whose domain's storage instance refuses it
    That instance is cut off, and refuses at once. Asking unreachable instances
    as well would delay the refusal until half of the caller's time is over.

    Given a front end of "east" that reaches only the storage instance of "east"
    When the store does not reply
    Then a new program is refused without asking "west, north"

  Scenario: An account becomes known with other holders while it is opened here
    Two instances open the account of a new program at once, and a front end
    that the other one replied to reaches this one first. If this instance kept
    the holders that it had chosen, a front end would ask holders that refuse
    it, and the program would get 503 until it ends.

    Given a storage instance that has chosen the holders of a new account
    When the account becomes known with other holders
    Then the instance returns those holders and not its own

  Scenario: Each of two opening instances reaches half of the others first
    Two instances open the account of a new program, and the others have
    consented to different holders. If none of them ever changed its mind, no
    front end would get a reservation, and the program would get 503 until it
    ends.

    Given 12 storage instances in 4 failure domains
    When two of them open an account at once and each reaches half of the others first
    Then new front ends of all domains get reservations from the same holders

  Scenario: The later opening instance reaches the third instance first
    The opening instance whose name sorts first refuses the other one, to which
    the third instance has already consented. If neither gave way, the program
    would get 503 until it ends.

    Given 3 storage instances in 3 failure domains
    When two of them open an account at once and each reaches half of the others first
    Then new front ends of all domains get reservations from the same holders

  Scenario: A storage instance that opened accounts is down
    It is killed just as the next turn of a program makes a reservation. The
    other holders of the account know what was used, and the program must not
    wait for it.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is killed
    Then the program gets a further reservation at "b"

  Scenario: A storage instance that opened accounts has lost its disk
    It returns with an empty disk. The other holders know what its programs
    have used, and the programs continue; none starts over with a full budget.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" loses its disk and recovers from the others
    And "b" is killed
    Then the program gets a further reservation at "a"

  Scenario: All storage instances are killed and restarted
    Each continues from its own disk. If one lost what it had recorded, it
    would grant the same tokens again as soon as another one is unreachable.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a, b, c" are killed and restarted
    And "a" is partitioned from "b, c" and the store is unreachable
    Then the program gets just the rest of its budget at "b"
    And the program gets at most one more turn at "a, b, c"

  Scenario: A program that has used its budget before a disk was lost
    Given storage instances "a, b, c"
    When a program has used its budget at "a"
    And "a" loses its disk and recovers from the others
    Then the program is refused as spent at "a"
    And the program is refused as spent at "b"

  Scenario: The share of the opening instance is lost with its disk
    No instance knows whether the instance that opened the account has used its
    share. If the others set a part of the budget aside for that, the program
    would be refused for good although it has budget left.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" loses its disk and recovers from the others
    Then the program gets just the rest of its budget at "b"
    And the program gets at most one more turn at "a, b, c"

  Scenario: The share of the opening instance is used and lost with its disk
    The others don't know that it was used and grant the whole budget, which
    together must be no more than the budget and one turn.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is partitioned from "b, c" and the store is unreachable
    And the program gets its share at "a"
    And all reach each other and are listed
    And "a" loses its disk and recovers from the others
    Then the program gets just the rest of its budget at "b"
    And the program gets no further turn at "a, b, c"

  Scenario: An instance is lost with its disk while an account is opened
    Guards against a program that is refused for good before its budget is
    spent: a part was set aside for an instance that had granted nothing, and
    nobody can tell.

    Given storage instances "a, b, c"
    When "c" is killed
    And a program has used half of its budget at "a"
    And "c" returns with an empty disk and recovers from the others
    Then the program gets just the rest of its budget at "b"
    And the program gets at most one more turn at "a, b, c"

  Scenario: A program begins before the others hear of a new instance
    Guards against a program that is refused for good before its budget is
    spent: a part was set aside for an instance that is there, and that can't
    have granted anything.

    Given storage instances "a, b, c"
    When "d" joins, of which the others only know the name yet
    And a program has used half of its budget at "a"
    And all hear of "d", which has followed them
    Then the program gets just the rest of its budget at "b"
    And the program gets at most one more turn at "a, b, c, d"

  Scenario: A new instance that a program waits for is restarted
    Guards against one that forgets over a restart that it is new.

    Given storage instances "a, b, c"
    When "d" joins, of which the others only know the name yet
    And a program has used half of its budget at "a"
    And all hear of "d", which has followed them
    And "d" crashes and restarts
    And "d" has followed the others
    Then the program gets just the rest of its budget at "b"

  Scenario: An instance that has granted alone is lost with its disk
    Guards against a part that is granted again: the others set it aside while
    the instance was out of reach, and nobody knows any more that it was used.

    Given storage instances "a, b, c"
    When "c" is partitioned from "a, b" and the store is unreachable
    And the program gets its share at "c"
    And a program has used half of its budget at "a"
    And "c" is killed
    And all reach each other and are listed
    And "c" returns with an empty disk and recovers from the others
    Then the program gets at most 2 more turns at "a, b, c"

  Scenario Outline: An account is opened twice, with different parts set aside
    Guards against holders that never agree on how much may be used. It happens
    if the reply of the first opening instance is lost, and the second one sets
    a different part aside.

    Given storage instances "a, b, c"
    And "<earlier>" runs a version that grants more than one turn alone
    When "a" opens an account while "<first>" is unreachable
    And "b" also opens it while "<second>" is unreachable
    Then the program can reserve all of its budget at "<name>"
    And the program can reserve at most one more turn at "a, b, c"

    Examples:
      | first  | second | name | earlier |
      | nobody | c      | a    | nobody  |
      | nobody | c      | b    | nobody  |
      | nobody | c      | c    | nobody  |
      | c      | nobody | a    | c       |
      | c      | nobody | b    | c       |
      | c      | nobody | c    | c       |

  Scenario: Two instances open an account at once, and one would grant alone
    Guards against a part of the budget that is granted twice: by one instance
    alone, and by the others, as the second opening instance asked before the
    part was set aside.

    Given storage instances "a, b, c"
    When "c" opens an account while "b" replies late, and "a" opens it meanwhile
    Then at most the budget and one turn are granted by "a" and by "c" alone

  Scenario: A failure domain that is cut off continues with its programs
    Only the instance that opened the account is reachable. It grants a few
    turns out of the share that is set aside for it.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is partitioned from "b, c" and the store is unreachable
    Then the program gets a further reservation at "a"

  Scenario: A storage instance is decommissioned while a turn runs
    The turn's use is settled after the instance is gone. If its share of the
    budget were lost with it, the program would be told too early that its
    budget is spent.

    Given storage instances "a, b, c"
    When a program has a turn running at "a", which is decommissioned and removed
    And the turn's use of 0 tokens is settled
    Then the program gets a reservation of its whole budget at "c"

  Scenario: An order to decommission an instance whose name starts with another's
    Storage instance "a10" is to be decommissioned. If "a" took the order as its
    own, it would hand over all its data and stop serving.

    Given storage instances "a, b, c"
    Then the order to decommission "a10" has no effect on "a"
    And the order to decommission "a" has an effect

  Scenario: A caller disconnects while its turn waits for a reservation
    The caller closes its connection just as a holder records the reservation.
    If it were not released, the program would be told too early that its
    budget is spent.

    Given storage instances "a, b, c"
    When a front end reserves tokens and its caller disconnects meanwhile
    Then the reservation is released

  Scenario: A turn ends as soon as its tokens are requested
    Guards against a settlement that is recorded before the reservation, which
    would then never be settled.

    Given storage instances "a, b, c"
    When "b" receives a reservation and its settlement at once
    Then the program has used nothing at "b"

  Scenario: A power loss drops what was not synced
    An instance loses power and returns with all that it has acknowledged. If it
    concluded that it had lost its disk, it would serve no requests.

    Given storage instances "a, b, c"
    When a program has used its budget at "a"
    And "a" is killed and restarted
    Then "a" has recovered
    And the program is refused as spent at "a"

  Scenario: A turn that one domain kept alone is spread
    In a failure domain that is cut off, a turn can only be kept on the domain's
    own disk. If that disk were lost after the partition, the conversation could
    not continue.

    Given storage instances "a, b, c"
    When "a" keeps a turn alone
    And "b" has followed the others
    And "a" is killed
    Then "b" has the turn

  Scenario: Machines are replaced one after the other
    Each new machine fetches its data from the others while its predecessor is
    still listed. If it skipped the turns that the predecessor should keep, the
    turns would be lost once all machines have been replaced, though never more
    than one disk was lost at a time.

    Given storage instances "a, b, c"
    When "a, b, c" keep 40 turns
    And "a" is replaced by "d" of its domain while still listed
    And "b" is replaced by "e" of its domain while still listed
    And "c" is replaced by "f" of its domain while still listed
    Then "d, e, f" have all 40 turns

  Scenario: Two disks are lost at once where two may be
    The two holders that have recorded a reservation return with empty disks. If
    no other holder has it, the program gets the same tokens again.

    Given 8 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program has used half of its budget at "s0" while one holder was unreachable
    And two holders that were reachable lose their disks and recover from the others
    Then the program gets at most the rest of its budget and one turn

  Scenario Outline: A long conversation over many storage instances
    Its turns come through front ends of different domains, each of which needs
    the whole chain. If one turn were looked for at the wrong instances, the
    caller would wait until its time is over, even without any fault.

    Given <count> storage instances in <domains> failure domains
    When a conversation of 11 turns goes through newly started front ends
    Then a new front end of each domain finds all 11 turns by asking 1 instance
    When <down> storage instances of different domains are down
    Then a new front end of each domain finds all 11 turns
    When a storage instance joins each domain and 3 more turns are kept
    Then a new front end of each domain finds all 14 turns

    Examples:
      | count | domains | down |
      | 8     | 3       | 1    |
      | 12    | 3       | 1    |
      | 12    | 4       | 1    |
      | 12    | 4       | 2    |

  Scenario: Each turn of a conversation is at another storage instance
    Storage instances were added and removed many times. The instance that has
    one turn does not have the turn before, which a front end that asks each
    instance only once would never find.

    Given 12 storage instances in 4 failure domains
    When 11 turns of a conversation are kept at a storage instance each
    Then a new front end of each domain finds all 11 turns

  Scenario: A conversation that another program continues
    Its turns are at the instances selected by the first program, which the
    front end does not know.

    Given 8 storage instances in 3 failure domains
    When a conversation of 11 turns goes through newly started front ends
    Then a front end that assumes another program finds all 11 turns

  Scenario: A chain is kept for as long as the turn at its end
    The first turn of a conversation expires before the last one. If it were
    dropped at its own expiry, the conversation could not continue. It may also
    have been added after the turn that continues it, from another disk.

    Given storage instances "a, b, c"
    When "a" keeps a turn that expires at once and one that continues it
    And "b" keeps them in reverse order
    And the sweep has run
    Then "a" has both turns
    And "b" has both turns

  Scenario: The journal after a power loss, truncated at each byte
    The newest segment may end at any byte, with or without garbage after it.
    All records that were synced before must be read, and nothing that was not
    written.

    Then a journal truncated at any byte yields a prefix of its records
    And a journal with any byte of its last record changed yields the others

  Scenario: A journal continues in new segments and drops old ones
    Turns expire, but accounts do not. If a segment with the only record of an
    account were dropped, the program would start over with a full budget after
    the next restart.

    Given storage instances "a, b, c"
    When a program has used its budget at "a"
    And "a" keeps 18 MB of turns that expire at once
    And the sweep has run
    Then the first segment of "a" is gone
    When "a" is killed and restarted
    Then the program is refused as spent at "a"

  Scenario: The disk of an instance is slow when it restarts, twice
    Each run begins a segment with a snapshot of the accounts. If older segments
    were dropped before a newer snapshot is on disk, the accounts would be gone
    with the next restart.

    Given storage instances "a, b, c"
    When a program has used its budget at "a"
    And "a" is killed and restarted 3 times, with a disk that syncs nothing
    And "a" is killed and restarted
    Then "a" knows that the program has used its budget

  Scenario: A record of the journal can't be decoded
    A newer version wrote it, which ran here before. What it held is missing, so
    that the instance must not count as one that lacks nothing: it would deny
    turns that others have.

    Given storage instances "a, b, c"
    When a program has used its budget at "a"
    And a record of another version is written to the journal of "a"
    And "a" is killed and restarted
    Then "a" does not count as whole
    When "a" has followed the others
    Then "a" has recovered
    And "a" knows that the program has used its budget

  Scenario: A peer stops responding to several concurrent requests
    One request times out and the connection is made anew. Every other request
    on that connection must end by its own timeout: if it were considered
    cancelled, a caller's request would end without a response, and a watch of
    the store forever.

    When 20 requests to a peer that does not listen time out one after the other
    Then each request ends without a reply
