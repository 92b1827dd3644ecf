Feature: Budgets and turns on the disks of storage instances
  Storage instances agree on nothing but where each account is. What they
  have promised holds through cuts, kills and one lost disk.

  Scenario: No program gets more than its budget and one turn, whatever happens
    Storage instances are cut off from each other and from the store, killed,
    replaced, and lose a disk, while turns of one program reach each of them.
    An account that is opened twice, or a permission that is forgotten, lets
    the program spend its budget twice.

    Then no sequence of cuts, kills, lost disks and lost replies lets a program use more than its budget and one turn

  Scenario Outline: A rule of permissions that is broken on purpose
    What is proved is worth something only if the same measure notices it.

    When a story is played in which it matters that "<rule>" is wrong
    Then the program uses no more than its budget and one turn
    When it is played with the rule broken
    Then the program uses more than its budget and one turn

    Examples:
      | rule                                                 |
      | one holder's word is enough                          |
      | an instance counts before it has followed the others |

  Scenario: An opener grants its share and loses its disk
    What it granted alone is known to nobody then. With a share set aside anew
    the program gets it twice.

    When an opener has granted its share and lost its disk
    Then the program uses no more than its budget and one turn
    When an opener has granted its share and lost its disk, and begins anew
    Then the program uses more than its budget and one turn

  Scenario: The naive version opens an account wherever a turn arrives
    Given storage instances "a, b, c, d"
    When "a, b" are cut off from "c, d" and turns of 20 programs reach both
    Then no program has used more than its budget and one turn
    When the same is played with accounts that are opened without asking
    Then a program has used more than its budget and one turn

  Scenario: One storage instance and the store are away
    A machine is replaced while the store is down. New programs must not wait
    for either to come back.

    Given storage instances "a, b, c"
    When "c" is killed and the store is away
    Then a new program gets a permission at "a"

  Scenario: A new program in a failure domain that is cut off
    Its storage instance reaches nobody, and the balancer sends callers there
    for some seconds more. They get a few turns out of a part of the budget
    that the others leave alone, and go on elsewhere with the rest.

    Given storage instances "a, b, c"
    When "a" is cut off from "b, c" and the store is away
    Then a new program gets a permission at "a"
    And the same program gets a permission at "b"

  Scenario: An instance that has lost its disk and is cut off then
    It can't tell what it had granted alone before, and grants nothing so.

    Given storage instances "a, b, c"
    When "a" loses its disk and has followed the others
    And "a" is cut off from "b, c" and the store is away
    Then a new program gets no permission at "a"
    And the same program gets a permission at "b"

  Scenario: A machine was replaced, and later a failure domain is cut off
    The one that is gone is not listed any more, but counted when accounts are
    opened, it would keep all new programs waiting for the cut to end.

    Given storage instances "a, b, c"
    When "a" is replaced by "d" of its domain, which is still listed
    And the registration of "a" has lapsed for long
    And "d" has followed the others
    And "c" is killed and the store is away
    Then a new program gets a permission at "b"

  Scenario: One whose registration has lapsed is alive
    It was cut off for long and is not counted any more. What it opens when
    it reaches the others again must not be opened a second time.

    Given storage instances "a, b, c"
    When "a" is cut off from "b, c" and the store is away
    And the registration of "a" has lapsed for long
    Then a new program gets no permission at "a"
    And the same program gets a permission at "b"

  Scenario: A front whose failure domain is cut off
    It still hears its own storage instance, and a watch of the store waits
    there without a sign that nobody will answer. While it says that it is
    ready, the balancer sends it new callers that it can only refuse.

    Given a front of "east" that hears only the storage instance of "east"
    When the store does not answer
    Then the front is cut off
    When the store answers
    Then the front is not cut off

  Scenario: A new program whose domain's storage instance refuses it
    It is cut off, and refuses at once. Asking those that are out of reach
    as well would hold the refusal back until the caller's time is half over.

    Given a front of "east" that hears only the storage instance of "east"
    When the store does not answer
    Then a new program is refused without asking "west, north"

  Scenario: An account becomes known with other holders while it is opened here
    Two instances open the account of a new program at the same time, and a
    front that the other has answered tells of it here first. If this one went
    on with the holders that it had chosen, a front would ask holders who
    refuse it, and the program would get 503 until it ends.

    Given a storage instance that chooses the holders of a new account
    When the account becomes known there with other holders
    Then the instance names those holders and not its own

  Scenario: Half of the storage instances heard of one opener first
    Two open the account of a new program at the same time, and the others are
    divided over whom they have agreed to. If each sticks to it for good, no
    front ever gets a permission, and the program gets 503 until it ends.

    Given 12 storage instances in 4 failure domains
    When two of them open an account at once and half of the others hear of each first
    Then new fronts of all domains get permissions from the same holders

  Scenario: The third storage instance heard of the later opener first
    The opener whose name comes first refuses the other one, to which the third
    has agreed already. Nobody gives way, and the program gets 503 until it
    ends.

    Given 3 storage instances in 3 failure domains
    When two of them open an account at once and half of the others hear of each first
    Then new fronts of all domains get permissions from the same holders

  Scenario: A storage instance that opened accounts is away
    It is killed just as the next turn of a program asks. The other holders of
    the account know what was used, and the program must not wait for it.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is killed
    Then the program gets a further permission at "b"

  Scenario: A storage instance that opened accounts has lost its disk
    It comes back with an empty disk. What its programs have used is known to
    the other holders, and they go on; none begins anew.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" loses its disk and has followed the others
    And "b" is killed
    Then the program gets a further permission at "a"

  Scenario: All storage instances are killed and start again
    Each goes on from its own disk. One that has forgotten what it recorded
    gives the same tokens a second time as soon as another is away.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a, b, c" are killed and started again
    And "a" is cut off from "b, c" and the store is away
    Then the program is refused as not certain at "b"

  Scenario: A program that has used its budget before a disk was lost
    Given storage instances "a, b, c"
    When a program has used its budget at "a"
    And "a" loses its disk and has followed the others
    Then the program is refused as spent at "a"
    And the program is refused as spent at "b"

  Scenario: The share of the opener is lost with its disk
    A part of the budget was set aside for the instance that opened the
    account. Whether that was used, nobody knows: "spent" would be false.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" loses its disk and has followed the others
    Then the program is refused as not certain at "b"

  Scenario Outline: An account is opened twice, with different parts set aside
    Guards against holders that never agree on how much may be used: the reply
    of the first opener is lost, and the second one sets more or less aside.

    Given storage instances "a, b, c"
    When "a" opens an account while "<first>" is out of reach
    And "b" opens it as well while "<second>" is out of reach
    Then the program may use all of its budget at "<name>"
    And the program may use no more than that and one turn at "a, b, c"

    Examples:
      | first  | second | name |
      | nobody | c      | a    |
      | nobody | c      | b    |
      | nobody | c      | c    |
      | c      | nobody | a    |
      | c      | nobody | b    |
      | c      | nobody | c    |

  Scenario: Two open an account at once, and one would grant alone
    Guards against a part of the budget that one instance grants alone and the
    others grant as well: the second opener asked before the part was set aside.

    Given storage instances "a, b, c"
    When "c" opens an account while "b" answers late, and "a" opens it meanwhile
    Then no more than its budget and one turn are granted at "a", and "c" alone

  Scenario: A failure domain that is cut off goes on with its programs
    Only the instance that opened the account can be reached. It grants a few
    turns out of the share that is set aside for it.

    Given storage instances "a, b, c"
    When a program has used half of its budget at "a"
    And "a" is cut off from "b, c" and the store is away
    Then the program gets a further permission at "a"

  Scenario: A storage instance is emptied while a turn runs
    The turn's use is booked when the instance is gone. If its share of the
    budget goes with it, the program is told too early that its budget is
    spent.

    Given storage instances "a, b, c"
    When a program has a turn running at "a", which is emptied and taken away
    And the turn's use of 0 tokens is booked
    Then the program gets a permission for all its budget at "c"

  Scenario: The order to empty an instance whose name begins with another's
    Storage instance "a10" is to be taken away. If "a" took the order for its
    own, it would hand over all it has and serve nobody any more.

    Given storage instances "a, b, c"
    Then the order to empty "a10" does not move "a"
    And the order to empty "a" does

  Scenario: A caller leaves while its turn waits for the permission
    The caller closes its connection just as the home writes the permission
    down. If nobody takes it back, the program is told too early that its
    budget is spent.

    Given storage instances "a, b, c"
    When a front asks for a permission and its caller leaves meanwhile
    Then the permission is taken back

  Scenario: A turn ends as soon as its permission was asked for
    Guards against word of its end that is booked before the reservation, which
    would then count for ever.

    Given storage instances "a, b, c"
    When "b" hears at once of a reservation and of its end
    Then the program has used nothing at "b"

  Scenario: A power loss takes what was not synced
    An instance loses power. It comes back with all that it has acknowledged.
    Taking itself for one that has lost its disk, it would serve nobody.

    Given storage instances "a, b, c"
    When a program has used its budget at "a"
    And "a" is killed and started again
    Then "a" is whole
    And the program is refused as spent at "a"

  Scenario: A turn that one domain took alone is spread
    In a domain that is cut off, only its own disk can take a turn. Lost with
    that disk after the cut, the conversation could not go on.

    Given storage instances "a, b, c"
    When "a" keeps a turn alone
    And "b" has followed the others
    And "a" is killed
    Then "b" has the turn

  Scenario: Machines are replaced one after the other
    Each new machine fills itself from the others, while its predecessor is
    still listed. If it leaves the predecessor's share of the turns to that,
    the turns are gone once all have been replaced, though never more than one
    disk was lost at a time.

    Given storage instances "a, b, c"
    When "a, b, c" keep 40 turns
    And "a" is replaced by "d" of its domain, which is still listed
    And "b" is replaced by "e" of its domain, which is still listed
    And "c" is replaced by "f" of its domain, which is still listed
    Then "d, e, f" have all 40 turns

  Scenario: Two disks are lost at once where two may be
    The two that have recorded a permission come back empty. If nobody else
    has it, the program gets the same tokens again.

    Given 8 storage instances in 3 failure domains, two of which may lose their disks at once
    When a program has used half of its budget at "s0" while one holder was away
    And two holders that were there lose their disks and have followed the others
    Then the program gets no more than the rest of its budget and one turn

  Scenario Outline: A long conversation over many storage instances
    Its turns come through fronts of different domains, and each new one asks
    for the whole chain. One link that nobody is asked for makes the caller
    wait until it gives up, on calm days too.

    Given <count> storage instances in <domains> failure domains
    When a conversation of 11 turns goes through fronts that have just started
    Then a new front of each domain finds all 11 turns, the first asking 1 instance
    When <away> storage instances of different domains are away
    Then a new front of each domain finds all 11 turns
    When a storage instance joins each domain and 3 more turns are kept
    Then a new front of each domain finds all 14 turns

    Examples:
      | count | domains | away |
      | 8     | 3       | 1    |
      | 12    | 3       | 1    |
      | 12    | 4       | 1    |
      | 12    | 4       | 2    |

  Scenario: Each turn of a conversation lies on another storage instance
    Storage instances came and went again and again. Whoever has one turn does
    not have the one before, and a front that asks each of them once misses it
    for good.

    Given 12 storage instances in 4 failure domains
    When 11 turns of a conversation lie on a storage instance each
    Then a new front of each domain finds all 11 turns

  Scenario: A conversation that another program continues
    Its turns lie where the first program's are. Nobody tells the front which
    program that was.

    Given 8 storage instances in 3 failure domains
    When a conversation of 11 turns goes through fronts that have just started
    Then a front that takes it for another program's finds all 11 turns

  Scenario: A chain is kept for as long as the turn at its end
    The first turn of a conversation is over when the last one ends. Dropped by
    its own time, the conversation could not go on; it may also have come here
    later than the one that continues it, from another disk.

    Given storage instances "a, b, c"
    When "a" keeps a turn that expires at once and one that continues it
    And "b" keeps them in the other order
    And the sweep has run
    Then "a" has both turns
    And "b" has both turns

  Scenario: The journal after a power loss, cut at each byte
    The newest segment ends anywhere, with or without garbage behind. All
    records that were synced before are read, and nothing that was not written.

    Then a journal cut at any byte gives back a prefix of its records
    And so it does with each byte of its last record changed

  Scenario: A journal goes on in new segments and drops old ones
    Turns expire, accounts do not. If a segment goes with the only record of
    an account, the program begins anew after the next restart.

    Given storage instances "a, b, c"
    When a program has used its budget at "a"
    And "a" keeps 18 MB of turns that expire at once
    And the sweep has run
    Then the first segment of "a" is gone
    When "a" is killed and started again
    Then the program is refused as spent at "a"

  Scenario: A peer goes silent while several ask it
    One request is given up and the connection made anew. Whoever else was
    sending on it must get its own verdict: taken for cancelled, a caller's
    request ends without an answer, and a watch of the store for ever.

    When 20 ask a peer that does not listen, one after the other giving up
    Then each learns that there is no reply
