Feature: Openers of one account, and views that are old
  Written to break the ways in which storage instances agree where an account
  is.

  Scenario Outline: Several open an account while the store and others fail
    Messages and the store's answers come late or are lost, instances are
    killed at any step, and one loses its disk. If two sets of holders grant,
    the program gets its budget twice; if fronts find none, it is refused for
    good.

    Then in <count> stories of <instances> storage instances, <disks> of whose disks may be lost, one set of holders grants and all find it

    Examples:
      | instances | disks | count |
      | 3         | 1     | 100   |
      | 4         | 1     | 60    |
      | 12        | 2     | 15    |

  Scenario: The stories notice an opener that does not ask the store
    Then in stories of 4 storage instances that go on without the store's word, two sets of holders grant

  Scenario: Lists differ when the whole system starts for the first time
    Three instances know only each other and open an account by consent; the
    store is not told. One that knows all six, and two that agree to it, must
    not take a store that knows of no holders for an account that is not open.

    Given storage instances "a, b, c, d, e, f"
    When "a, b, c" have not heard of "d, e, f"
    And turns of a new program use up its budget at "a"
    Then the program's turns at "a, d" stay within its budget and one turn

  Scenario: One that opened an account with the store is gone, and who knows of it is cut off
    Two of four open it with the store. One is killed and left out once its
    registration has lapsed, the other is out of reach: the rest are all but
    one of those that count, and open it again without the store.

    Given storage instances "a, b, c, d"
    When "a, d" are cut off from "b, c"
    And 4 turns of a new program run at "c", which is killed and not listed any more
    Then the program's turns at "a" stay within its budget and one turn

  Scenario: One grants alone while it is cut off, and is left out then
    What it has granted is set aside only while it is counted. Once its
    registration has lapsed, the others give the whole budget.

    Given storage instances "a, b, c"
    When "a" are cut off from "b, c"
    And a program that began at "a" has 1 turns running at "a"
    And the registration of "a" has lapsed for long
    Then the program's turns at "b" stay within its budget and one turn

  Scenario: One grants alone while it is cut off, and loses its disk then
    It can't tell what it has granted, and says that it was nothing: the others
    set nothing aside and give the whole budget.

    Given storage instances "a, b, c"
    When "a" are cut off from "b, c"
    And a program that began at "a" has 1 turns running at "a"
    And all reach each other and are listed
    And "a" loses its disk and has followed the others
    Then the program's turns at "b" stay within its budget and one turn

  Scenario: One whose registration had lapsed starts again while it is cut off
    With the restart it forgets that the others did not count it for a while.
    So it grants alone what they have given away without it.

    Given storage instances "a, b, c"
    When "c" is partitioned from "a, b", and its registration expired long ago
    And turns of a new program use up its budget at "a"
    And "c" is killed and starts again
    And "c" is listed again while it is partitioned
    Then the program's turns at "a, c" stay within its budget and one turn

  Scenario: A caller leaves while the list is read for others as well
    They share one reading of the store. When the caller that began it leaves,
    the others must not be told that the store is silent.

    When three look-ups wait for a reading of the list and the one that reads is given up
    Then the others know that the store has told

  Scenario: One that has heard all is told by one that heard it later
    The store's revision goes on with each write of any kind. Who reads the
    list later dates the same change later, and all who had heard of it read
    the list again for nothing.

    When "b" hears of a change by its watch, other keys are written, and "a" reads the list
    Then the answer of "a" does not make "b" read the list

  Scenario: One was emptied and is gone, and another one starts again
    What is written down names all that were ever seen. Read back, the one that
    is gone counts again: look-ups are not certain for two minutes, an opener
    has one consent less to spare for an hour, and nothing is granted alone.

    Given storage instances "a, b, c, d"
    When "a" was emptied and is gone, and "b" starts again
    Then "b" does not count "a"

  Scenario: One of several storage instances of a domain dies
    Fronts take a domain whose storage instances are silent for 0.4 s, and
    whose endpoints are, for one that may be cut off. One dead instance is no
    sign of that.

    Given a front end and 12 storage instances in 4 failure domains
    When one of them dies, 200 times at random moments
    Then no domain was silent for as long as makes it suspect
