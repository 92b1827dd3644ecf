Feature: The promises hold under a randomized soak
  Real processes, faults from outside in series and at the same time, callers
  that keep their connections. ``python -m soak`` runs more seeds by hand.

  Scenario Outline: Faults of all kinds while programs run
    Guards against what only shows when several things go wrong at once.

    When seed <seed> is soaked for <seconds> seconds
    Then no promise was broken

    Examples:
      | seed | seconds |
      | 7    | 20      |
      | 103  | 20      |

  Scenario Outline: A seed that has failed
    Guards against the faults that these seeds have shown: a hang-up that ended
    a process which had just been started (106).

    When seed <seed> is soaked for <seconds> seconds
    Then no promise was broken

    Examples:
      | seed | seconds |
      | 106  | 25      |

  Scenario: A plan is the same for the same seed
    Guards against a seed that can't be run again.

    Then the plans of 50 seeds are the same when they are drawn again
    And all kinds of faults are among them
    And no two disks are lost within 12 seconds

  Scenario Outline: What callers saw breaks a promise
    Guards against a check that can't fail.

    When a caller sees <what>
    Then the soak reports "<rule>"

    Examples:
      | what                                        | rule    |
      | a kept turn answered with 404               | LOST    |
      | a proper request answered with 400          | DENIED  |
      | a success without a signature               | MIXED   |
      | the answer to another request               | MIXED   |
      | an event that is missing                    | ORDER   |
      | events of two runs                          | ORDER   |
      | a stream that is complete too early         | ORDER   |
      | a payment that ran twice                    | TWICE   |
      | a payment refused that ran                  | REFUSED |
      | a turn run with another history             | UNASKED |
      | a request run that nobody sent              | UNASKED |
      | more tokens than the budget and one turn    | BUDGET  |

  Scenario: What callers saw is in order
    Guards against a soak that reports what the promises allow.

    When a caller sees answers as promised
    Then the soak reports nothing
