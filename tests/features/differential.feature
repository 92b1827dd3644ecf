Feature: No difference from a naive version
  The system is compared with a naive one that runs in a single process, one
  call at a time. Sequences of calls, repeats, kills and outages are made up by
  hypothesis from a fixed seed.

  Scenario: Programs, history, budget and acts under kills and outages
    Instances die in the middle of calls, the key-value service goes away,
    services lose answers. A caller that comes back as it is told to must end
    up with what the naive version gives it.

    Given a system to be compared
    Then any sequence of calls and failures gives what the naive version gives
