Feature: Placement among sampled endpoints
  Endpoints whose speed changes from moment to moment report a slowdown. Front
  ends of a failure domain share these reports, and compare only a few endpoints
  for each call.

  Scenario Outline: A burst into the peak
    If all front ends chose by the same reports, they would overload one engine
    after the other. Callers would wait for seconds while other engines are idle.
    A program of three turns of 0.3 s may lose 0.23 s and 0.6 times its time,
    which is 0.77 s, or 0.257 s for each turn. One program in ten may miss that,
    as turns also hit slow engines, and one turn in twenty.

    Given 40 front ends of 3 domains, which share reports every 0.2 s
    When 200 programs of three turns start in each second, with seed <seed>
    Then at most 0.1 of the programs lose more than 0.77 s
    And at most 0.05 of the turns wait more than 0.257 s while another engine has free slots
    And turns wait 0.06 s on average at most

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: The bounds of the burst are missed by other ways to choose
    Shows that the bounds above can tell good choices from bad ones.

    Given 40 front ends of 3 domains, which share reports every 0.2 s
    And the front ends choose <choice>
    When 200 programs of three turns start in each second, with seed 1
    Then more than 0.2 of the programs lose more than 0.77 s

    Examples:
      | choice                                      |
      | the least loaded of all                     |
      | the least loaded of all by own reports only |

  Scenario: A shared prompt part is cached at an engine that a front end has not used
    Other engines need 47 ms or more to read it, and their other turns wait
    meanwhile.

    Given 22 engines of 3 domains that report a slowdown
    And two front ends of a domain have placed no turn yet
    When one of them sends a turn and they share what they know
    Then the other one places all of 50 turns with this prompt part at that engine
    And it places turns with another prompt part at other engines too

  Scenario: Prefixes that others use do not displace own ones
    A front end would send its conversations to engines that must read them anew.

    Given a front end with as many prefixes as it keeps for an engine
    When another front end reports a prefix for that engine
    Then all its own prefixes are still known
    And one that it receives while there is room is dropped before its own

  Scenario: A prefix is reported once for each engine
    Prompts begin with the same part all day. Reporting it each time would fill
    the messages, and later parts concern no other program.

    Given 2 engines of 1 domains that report a slowdown
    When a front end sends 40 turns with prompts of three parts
    Then it has reported the first part once for each engine

  Scenario: An engine is slow for half a second
    Turns sent there would take 2.5 times as long. If it counted as slow for long,
    the other engines would have to do its work.

    Given 4 engines of 1 domains that report a slowdown
    When turns of 0.06 s run for 4 s and one engine is slow for 0.5 s meanwhile
    Then it gets at most 0.12 of the turns sent while its slowness is known
    And at least 0.2 of those sent from 0.5 s to 1.5 s after
    And its learned duration ratio has changed by at most 0.05

  Scenario Outline: The expected duration at a slow engine
    Slow work ends after 0.3 s on average. If all of a long call were taken to be
    slow, all front ends would leave the engine and overload the others.

    Given 1 engines of 1 domains that report a slowdown
    When an engine reported a slowdown of 2.5 <age> s ago
    Then a call of <usual> s is expected to take <least> to <most> s there

    Examples:
      | usual | age | least | most |
      | 0.04  | 0.0 | 0.1   | 0.1  |
      | 0.3   | 0.0 | 0.48  | 0.48 |
      | 0.3   | 0.3 | 0.36  | 0.37 |
      | 0.3   | 2.0 | 0.3   | 0.31 |

  Scenario Outline: Turns at an engine that is slow for a moment
    If it counted as slow for tens of seconds, others would have to do its work.

    Given 2 engines of 1 domains that report a slowdown
    When <count> turns run at one that <event>
    Then its learned duration ratio has changed by at most 0.06

    Examples:
      | count | event                         |
      | 10    | is slow                       |
      | 1     | becomes slow while these run  |

  Scenario Outline: Reports are stale or missing
    Front ends fall back on their own reports and calls. If an old report counted
    like a new one, an idle engine would get no work.

    Given 22 engines of 3 domains that report a slowdown
    When an engine is known from <reports>
    Then it is taken to have <least> to <most> requests

    Examples:
      | reports                                                  | least | most |
      | no report                                                | 0     | 0    |
      | a shared report of 10 requests, 0.1 s old                | 9     | 10   |
      | a shared report of 10 requests, 4 s old                  | 0     | 0.2  |
      | an own report of 2 requests, then a shared one from before | 2     | 2    |
      | a shared report of 5 requests, before 3 own calls        | 8     | 8    |
      | a shared report of 5 requests, after 3 own calls         | 5     | 5    |
      | a shared report of 5 requests, heard after 3 own calls   | 7.5   | 8    |

  Scenario: Engines that report no slowdown
    These endpoints are served as before: all of them are compared, and nothing
    is shared.

    Given 22 engines of 3 domains that report no slowdown
    When one of two front ends sends 30 turns and they share what they know
    Then each of its turns was compared at 22 engines
    And it has nothing to share

  Scenario: A failure domain is partitioned
    Turns sent there would wait for their deadline.

    Given 22 engines of 3 domains that report a slowdown
    When 200 turns are placed while "d1" is unreachable
    Then none is placed in "d1"
    And 3 engines are compared for each

  Scenario: A front end reaches its own domain only
    Given 22 engines of 3 domains that report a slowdown
    When 200 turns are placed while "d1, d2" is unreachable
    Then all are placed in "d0"
    And 2 engines are compared for each

  Scenario: Engines of the own domain are preferred
    Calls there survive a partition, and their traffic is free. With random
    choice, two thirds of all calls would depend on links to other domains.

    Given 22 engines of 3 domains that report a slowdown
    When 200 turns are placed at idle engines
    Then all are placed in "d0"
    And 3 engines are compared for each

  Scenario: The own domain is busy
    Callers would wait while the engines of other domains are idle.

    Given 22 engines of 3 domains that report a slowdown
    And the engines of "d0" run 12 requests each, and 24 wait there
    When 200 turns are placed
    Then none is placed in "d0"

  Scenario Outline: Calls placed on busy engines are counted
    Operators see from this whether engines are full or the choice is poor.

    Given 3 engines of 1 domains that report a slowdown
    And <busy> engines run 12 requests each, and 12 wait there
    When a turn is placed at one that is busy
    Then rattanmill_placed_busy counts it once as "<another>"
    And its log line has the slowdown that the engine has reported

    Examples:
      | busy | another |
      | 3    | busy    |
      | 1    | free    |

  Scenario: Any sample
    Whatever endpoints there are, two of the own domain, one other, plus the one
    that has most of the prompt cached are compared.

    Then every sample is made of different endpoints that may get the call
    And has two of the own domain, three in all, if there are so many
    And has one with most of the prompt cached, as a fourth at most
