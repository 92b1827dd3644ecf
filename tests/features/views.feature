Feature: Views that are old or partial
  Each process acts by what it has heard, which may be less than there is.
  What is taken for certain must not rest on that.

  Scenario: An entry lapsed while the store was away
    Storage instances, one of them late, hold it back for two seconds after the store's return. A
    front that has heard all else by then must still hear of its removal, or it
    sends calls to an endpoint that is gone for as long as it runs.

    Given a front that follows "servers/" through storage instances "east, west"
    When the store was away for 4 seconds and the entry of "one" is missing after it
    Then 1.5 seconds after its return the front still knows "one"
    And 4.0 seconds after its return the front knows only "two"

  Scenario: An entry that lapsed is written again while it is told of
    The removal is told again for some seconds, to fronts that may not have
    heard it. It must not undo what they have heard since.

    Given a front that follows "servers/" through storage instances "east, west"
    When the store was away for 4 seconds and the entry of "one" is missing after it
    And "one" registers again 4.0 seconds after its return
    Then from 4.6 to 20.0 seconds after its return the front knows "one, two"

  Scenario: One that has lost its disk starts while another one is not listed
    The other one is cut off for so long that its registration has lapsed. It
    alone knows of permissions that the third missed while it was killed. If
    the list is taken for all that there are, two holders count that have
    forgotten them, and the program spends them twice.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And 2 further turns run at "b" while "a" is killed and does not follow them
    And "c" is cut off from "a, b", and its registration has lapsed for long
    And "b" loses its disk and starts where "c" is not listed
    And "b" has followed those that are listed
    Then the program's turns at "a, b" stay within its budget and one turn
    And "b" is not whole
    When all reach each other and are listed
    And "b" has followed those that are listed
    Then "b" has recovered
    And the program's turns at "a, b, c" stay within its budget and one turn

  Scenario: An account of which one that is listed has not heard
    One that has lost its disk follows another one that was killed while the
    account was opened. Neither knows of it, and they open it a second time.

    Given storage instances "a, b, c"
    When 4 turns of a new program run at "c" while "b" is killed
    And "a" is cut off from "b, c", and its registration has lapsed for long
    And "c" loses its disk and starts where "a" is not listed
    And "c" has followed those that are listed
    Then the program's turns at "b, c" stay within its budget and one turn

  Scenario: A turn of before, where one that lost its disk has not heard of all
    Both that are listed say that they have all and don't have it; the one that
    has it is cut off. A front that has just started denies the turn.

    Given storage instances "a, b, c"
    When a turn is kept at "b, c" while "a" is killed and does not follow them
    And "c" is cut off from "a, b", and its registration has lapsed for long
    And "b" loses its disk and starts where "c" is not listed
    And "b" has followed those that are listed
    Then a front that starts beside "b" does not deny the turn

  Scenario: Machines lose their disks one after the other
    One was killed while turns began. The next one is replaced, and when its
    successor has followed all others the third loses its disk. No more than
    one disk is lost at a time, so the first must have taken in by then what
    it had missed.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And 2 further turns run at "b" while "a" is killed
    And "c" is replaced by "d" of its domain while still listed
    And the registration of "c" expired long ago
    And "a" has followed those that are listed
    And "d" has followed those that are listed
    And "b" loses its disk and starts where "c" is not listed
    And "b" has followed those that are listed
    Then "b" has recovered
    And the program's turns at "a, b" stay within its budget and one turn

  Scenario: One whose registration had lapsed is listed again
    The others have not counted it for a while and opened accounts without
    it. It is heard by the store again before it hears any of them, and must
    not grant alone what they have given away.

    Given storage instances "a, b, c"
    When "c" is cut off from "a, b", and its registration has lapsed for long
    And turns of a new program use up its budget at "a"
    And "c" is listed again while it is cut off
    Then the program's turns at "c" stay within its budget and one turn

  Scenario: One whose registration had lapsed starts again
    The same, and it can't remember that it was not counted.

    Given storage instances "a, b, c"
    When "c" is cut off from "a, b", and its registration has lapsed for long
    And turns of a new program use up its budget at "a"
    And "c" is killed and restarted
    And "c" is listed again while it is cut off
    Then the program's turns at "c" stay within its budget and one turn

  Scenario: What turns have used is known to a holder out of reach
    A front heard of their ends and reached one holder only. The others count
    them in full. They must not say that the budget is spent, which ends the
    program; it goes on when the third is heard again.

    Given storage instances "a, b, c"
    When a program that began at "b" has 4 turns running at "a"
    And "a" is cut off from "b, c", and the turns end there with little used
    Then its next turn is refused as not certain at "b"
    When all reach each other and are listed
    Then its next turn gets a permission at "b"

  Scenario: A program that has used its budget while a holder is out of reach
    That is certain, whatever the third knows, and has to end it.

    Given storage instances "a, b, c"
    When a program that began at "b" has 4 turns running at "a"
    And the turns end with all used, and "a" is cut off from "b, c"
    Then its next turn is refused as spent at "b"

  Scenario Outline: A storage instance is asked again while its disk is slow
    It knows what it was asked for before, but only in memory. An answer now
    counts elsewhere as a record on its disk, which a power loss takes.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And the disk of "b" is held up
    And "b" is asked twice for <what>
    Then neither was answered
    When the disk of "b" goes on
    Then both were answered

    Examples:
      | what                                       |
      | a further turn                             |
      | its consent to where another account is    |
      | a turn of which another holder has told it |

  Scenario: An instance is emptied while another one is not listed
    That one is cut off for so long that its registration has lapsed. Turns
    that lie in one other domain only, and permissions that only one other
    holder has heard of, go with the next disk that is lost; the emptied one
    does not count as lost.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And "c" is cut off from "a, b", and its registration has lapsed for long
    And a turn is kept at "a, b"
    And 2 further turns run at "a"
    And "a" is ordered to be emptied
    Then 2 seconds later "a" does not say that it is emptied
    When all reach each other and are listed
    Then "a" says that it is emptied
    And "b, c" have the turn and the 3 permissions

  Scenario: A permission is recorded where accounts have been handed over
    Its machine is taken away with the disk as soon as it has said that it is
    emptied. What it records after the others were told is known to one of
    them only, and counts as if it were on two disks.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And "c" is ordered to be emptied, and the store is too slow to be told
    And 2 further turns ask at "b" while "a" is killed
    And "c" is taken away
    And "b" loses its disk and starts where "c" is not listed
    And "b" has followed those that are listed
    Then the program's turns at "a, b" stay within its budget and one turn

  Scenario: A turn is kept where all turns have been handed over
    A front whose list is old sends it there. It must not count as kept.

    Given storage instances "a, b, c"
    When "c" is ordered to be emptied, and the store is too slow to be told
    Then a front with the list of before does not count a turn as kept at "c"

  Scenario: A cut that outlasts the registrations of its domain
    Its storage instances are not listed any more after ten seconds. That says
    nothing of the way there, and calls placed there again get lost.

    Given a front that has taken "west" for cut off
    When the storage instances of "west" are not listed any more for 3 seconds
    Then "west" is still taken for cut off
    When endpoints of "west" can be reached again for 1 second
    Then "west" is not taken for cut off

  Scenario: The store takes the registrations of two away, which are there
    It turns these machines away for some seconds and has ended their leases.
    All of them answer. A turn that is kept by one only is lost with the next
    disk, though two others could have taken it.

    Given storage instances "a, b, c"
    When the store takes the registrations of "b, c" away
    Then a front beside "a" keeps a turn in 2 failure domains

  Scenario: The store takes the registrations of two away, and turns ask
    All holders answer, and still all but a few turns would be refused.

    Given storage instances "a, b, c"
    When a turn of a new program runs at "a"
    And the store takes the registrations of "b, c" away
    Then its next 4 turns get permissions at "a"

  Scenario: An instance is emptied while turns go on
    Each permission that it records is one more that the others must have heard
    of. Waiting until they have heard all at once, it is never done.

    Given storage instances "a, b, c"
    When turns of 10 programs that began at "a" ask at "b" again and again
    And "a" is ordered to be emptied
    Then "a" says that it is emptied
