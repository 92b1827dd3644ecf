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
    a process which had just been started (106), kept turns that were unknown
    after a power loss (2001).

    When seed <seed> is soaked for <seconds> seconds
    Then no promise was broken

    Examples:
      | seed | seconds |
      | 106  | 25      |
      | 2001 | 25      |

  Scenario Outline: Endpoints break off answers and fail at the same time
    Guards against an answer that was broken off and reaches its caller as if it
    were complete, as a later attempt of its stream failed.

    When seed <seed> is soaked for <seconds> seconds with faults of endpoints alone
    Then no promise was broken
    And streams were resumed

    Examples:
      | seed | seconds |
      | 501  | 8       |

  Scenario Outline: The faults that come one by one stay as they were
    Guards against listed seeds that no longer show what they have shown.

    Then the serial faults of seed <seed> with <count> of each role a domain are "<digest>"

    Examples:
      | seed | count | digest       |
      | 106  | 1     | 895265f2332e |
      | 107  | 1     | 5d33c6b68e03 |
      | 300  | 2     | 1d313dffbf2d |
      | 306  | 2     | 4f154415fc1f |
      | 308  | 2     | a247b1f2946b |

  Scenario: A plan is the same for the same seed
    Guards against a seed that can't be run again.

    Then the plans of 50 seeds are the same when they are drawn again
    And all kinds of faults are among them
    And no two disks are lost within 12 seconds
    And all faults of streams overlap at different endpoints

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
      | a plan with an event twice                  | ORDER   |
      | a plan that begins again when resumed       | ORDER   |
      | a resumed plan that leaves an event out     | ORDER   |
      | a plan that is complete too early           | ORDER   |
      | a resumed plan that is complete too early   | ORDER   |
      | a plan that is complete within an event     | ORDER   |
      | a plan whose later events have no ids       | ORDER   |
      | a plan that a failure was joined to         | ORDER   |
      | a turn that was resumed at another runner   | ORDER   |
      | an event of a runner that did not run it    | MIXED   |
      | a success where the runner failed           | MIXED   |
      | a failure that no runner gave               | MIXED   |
      | a failure with another body                 | MIXED   |
      | a failure without a signature               | DENIED  |
      | a payment that failed and ran twice         | TWICE   |
      | a turn run from a later event               | UNASKED |
      | a plan run again from the start             | UNASKED |
      | more tokens in plans than the budget        | BUDGET  |
      | a turn refused though the budget holds it   | SPENT   |
      | a turn refused for one that never ran       | SPENT   |

  Scenario: What callers saw is in order
    Guards against a soak that reports what the promises allow.

    When a caller sees answers as promised
    Then the soak reports nothing
