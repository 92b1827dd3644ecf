Feature: A failed request is explained from the logs
  An operator has the id of a request, the logs of all instances, and nobody
  who was there.

  Scenario Outline: Requests of a day with faults
    The logs are cut from a day on which a failure domain was cut off, engines
    lost answers, and all machines lost power.

    When the operator asks about "<request>" in the logs of that day
    Then the lines are in the order of time
    And the last paragraph says "<ending>"
    And the last paragraph says "<reason>"

    Examples:
      | request          | ending                                    | reason                                            |
      | dff287d5f8878cd9 | budget_unreserved, too few holders        | peer_silent peer=storage-alba-east-1              |
      | 14a47239ca3cac21 | turn_unsure, cut off                      | domain_cut domain=alba-north                      |
      | 1b49038a7bdc5c90 | endpoint_failed, i-09d6e0f840             | endpoint_suspected endpoint=i-09d6e0f840          |
      | 092e870fb78581c7 | no end. front-alba-east-4 was killed      | started again 0.907 s                             |
      | f0a380b1f19c50bb | was broken off: the time is over          | 0.700 s, from placed to broken_off at i-f6a1d15cb5 |

  Scenario: What has nothing to do with it is left out
    A busy front writes some hundred lines a second. In a story of thousands
    the one that matters is overlooked.

    When the operator asks about "1b49038a7bdc5c90" in the logs of that day
    Then 5 lines are told

  Scenario: A program over two fronts, one of whose clocks is behind
    By their clocks the second turn came before the first had ended. Put in
    that order the story makes no sense.

    Given the log of a program whose second turn seems to come 0.3 s too early
    When the operator asks about "p1" in that log
    Then the lines are in the order of time
    And the second turn's lines stand after the first one's
    And the last paragraph says "The clock of front-b is behind that of front-a by 0.300 s or more"
    And the last paragraph says "2 requests: 1 answered, 1 refused (deadline)"

  Scenario: A front that was told to stop
    Given the log of a request whose front was told to stop and started again
    When the operator asks about "r1" in that log
    Then the last paragraph says "no end. front-a was told to stop"

  Scenario: A log that ends early
    Given the log of a request that has no end
    When the operator asks about "r1" in that log
    Then the last paragraph says "no end in these files"

  Scenario: Lines that cannot be read
    A collector's own lines stand among ours, and a file was cut in a line.

    Given the log of a request that has no end
    And that log ends in half a line and holds other output
    When the operator asks about "r1" in that log
    Then the last paragraph says "2 lines could not be read"

  Scenario: The story for scripts
    When the operator asks about "1b49038a7bdc5c90" in JSON
    Then what it prints is JSON with 5 lines and the cause

  Scenario Outline: What cannot be explained
    When the operator asks with "<arguments>"
    Then the command fails with 2 and says "<text>"

    Examples:
      | arguments                            | text                     |
      | r1                                   | name the log files       |
      | r1 missing.log                       | missing.log: cannot be read |
      | nobody tests/features/logs/fronts.log | nobody: not in these 1 files |
