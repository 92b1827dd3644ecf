Feature: Exchange of load reports among the front ends of a domain
  Each front end makes about a hundredth of the calls. Without the reports that
  others receive, it sends callers to endpoints that have long queues.

  Scenario: A load that one front end receives reaches the others
    Guards against loads that arrive too late to matter, and against loads that
    look newer than they are: callers would wait at an endpoint that was idle a
    while ago.

    Given a domain with 3 storage instances and 5 busy front ends
    When front end 0 receives a load of "engine"
    Then within 0.42 seconds each other front end was told of it once
    And its age was right to 0.01 seconds
    And front end 0 was not told of it

  Scenario Outline: A front end that was idle
    Guards against the use of loads of several seconds ago, and against a front
    end that knows nothing when its first callers come.

    Given a domain with 3 storage instances and 2 front ends
    And front end 0 receives a load of "engine"
    When front end 1 has its first response <seconds> seconds later
    Then it was told of <count> loads of "engine"

    Examples:
      | seconds | count |
      | 0.5     | 1     |
      | 2.7     | 1     |
      | 3.1     | 0     |

  Scenario: An idle front end sends nothing
    Messages of front ends without callers would cost the storage instances as
    much as those of busy ones.

    Given a domain with 3 storage instances and 2 front ends
    When front end 0 receives a load of "engine"
    And 5 seconds pass
    Then front end 0 sent at most 6 load reports, all within 1.01 seconds
    And front end 1 sent no load report

  Scenario: Endpoints that report no slowdown
    Deployments whose endpoints do not report their current speed must not pay
    for the exchange.

    Given a domain with 3 storage instances and 2 front ends
    When both front ends receive loads without a slowdown for 3 seconds
    And both front ends send the prefix "a" to "engine"
    And 5 seconds pass
    Then no load report was sent

  Scenario: A load report is a sign of life
    Guards against a domain that looks partitioned although its collector
    answers: its endpoints would be avoided.

    Given a domain with 1 storage instances and 2 front ends
    When front end 0 sends no pings any more
    And front end 0 is busy for 5 seconds
    Then its domain was never silent for more than 0.25 seconds

  Scenario: More loads than a message may have
    Guards against messages of unbounded size where a front end was cut off or
    there are many endpoints. The loads that are left out must be the oldest.

    Given a domain with 1 storage instances and 3 front ends
    When front end 0 receives loads of 100 endpoints
    And 0.5 seconds pass
    And front end 1 receives loads of 100 endpoints
    And 0.5 seconds pass
    And front end 2 has its first response 0.5 seconds later
    Then no message had more than 64 loads
    And front ends 0 and 1 have sent their 64 newest loads
    And front end 2 was told of the 64 newest loads of front end 1

  Scenario: A large message stays small on the wire
    One storage instance answers up to 40 front ends five times a second.

    Given a message of 64 loads and 64 prefixes in each direction
    Then each is encoded in at most 6000 bytes

  Scenario: A prefix of one program
    Guards against prefixes that no other program has: they would displace those
    that programs share.

    Given a domain with 3 storage instances and 3 busy front ends
    When front end 0 sends the prefix "a" to "engine-1"
    And front end 0 sends the prefix "a" to "engine-2"
    And 3 seconds pass
    Then no front end was told of a prefix

  Scenario: A prefix that programs share
    An endpoint where the prompt is cached looks slower than it is to each front
    end that does not know this, so that it is left idle.

    Given a domain with 3 storage instances and 3 busy front ends
    When front end 0 sends the prefix "a" to "engine-1"
    And front end 0 sends the prefix "a" to "engine-2"
    And 1 seconds pass
    And front end 1 sends the prefix "a" to "engine-3"
    And 1 seconds pass
    And front end 1 sends the prefix "a" to "engine-1"
    And 1 seconds pass
    Then front end 0 was told of the prefix "a" at engine-3
    And front end 1 was told of the prefix "a" at engine-1, engine-2
    And front end 2 was told of the prefix "a" at engine-1, engine-2, engine-3

  Scenario: A prefix that two front ends send to the same endpoint
    Guards against messages that tell a front end what it has just reported.

    Given a domain with 3 storage instances and 3 busy front ends
    When front end 0 sends the prefix "a" to "engine-1"
    And 1 seconds pass
    And front end 1 sends the prefix "a" to "engine-1"
    And 1 seconds pass
    Then front end 2 was told of the prefix "a" at engine-1
    And front ends 0 and 1 were told of no prefix

  Scenario: More prefixes than a message may have
    Unlike loads, prefixes stay valid, so none may be lost.

    Given a domain with 1 storage instances and 3 busy front ends
    When front ends 0 and 1 send 200 prefixes to an endpoint each
    And 3 seconds pass
    Then no message had more than 64 prefixes
    And front end 2 was told of all 400 pairs once
    And front ends 0 and 1 were told of the 200 pairs of the other one

  Scenario: More prefixes than a collector may keep
    Guards against memory that grows with the number of programs, and against
    prefixes of single programs that displace shared ones.

    Given a collector that was told of 3000 shared pairs
    When a front end reports 5000 prefixes of its own
    Then the collector has 4000 pairs, all shared ones among them
    When front ends report 5000 further shared pairs
    Then the collector has 4000 pairs, the newest 3000 shared ones among them

  Scenario: All front ends choose the same collector
    Guards against front ends of a domain that report to different storage
    instances, so that each is told of a part of the loads only.

    Given a domain with 4 storage instances and 12 busy front ends
    When 1 seconds pass
    Then all front ends have the same collector
    And it is not the first one to read the store for others

  Scenario: Any order and any number of copies of reports
    A report that is under way for longer than another must not replace it.
    Callers would be sent to an endpoint that was idle a while ago.

    Then a collector keeps the newest of any reports, and each age is right

  Scenario: Any failures of messages and collectors
    Guards against an older load that replaces a newer one after a collector
    was replaced, or has handled requests that waited while it was frozen.

    Then no front end replaces a load by one that is older by a round trip, and all are told of the newest in the end

  Scenario Outline: The collector fails
    Front ends would place calls by outdated loads for as long as they ask a
    collector that does not answer.

    Given a domain with 3 storage instances and 4 busy front ends
    When the collector <fails>
    And front end 0 receives a load of "engine"
    Then within 0.7 seconds each other front end was told of it once
    And each front end logged that the second storage instance is its collector as the first is "<why>"

    Examples:
      | fails          | why          |
      | freezes        | unresponsive |
      | is killed      | unresponsive |
      | leaves         | unlisted     |

  Scenario: A newer load while the collector does not answer
    The load that may not have arrived is reported to the next collector. It
    must not replace the newer one.

    Given a domain with 2 storage instances and 3 busy front ends
    When the collector freezes just before front end 0 receives a load of "engine"
    And front end 0 receives another load of "engine"
    And 1 seconds pass
    Then each other front end was told of that load of "engine" last

  Scenario: A frozen collector goes on
    Requests that it received before are answered seconds late. The loads in
    them must not look as if they had just been reported.

    Given a domain with 2 storage instances and 2 busy front ends
    When the collector freezes just before front end 0 receives a load of "engine"
    And 2 seconds pass
    And the collector goes on
    And 2 seconds pass
    Then front end 1 was never told of a load of "engine" that looked newer than it was
    And all front ends have the first storage instance as collector

  Scenario: A collector restarts
    Its positions start over. A front end that asked for what is new after an old
    position would be told of nothing.

    Given a domain with 1 storage instances and 3 busy front ends
    And front ends 0 and 1 send 200 prefixes to an endpoint each
    And 3 seconds pass
    When the collector restarts
    And front end 0 receives a load of "engine"
    Then within 0.42 seconds each other front end was told of it once
    When front end 0 sends the prefix "a" to "engine-1"
    And 1 seconds pass
    And front end 1 sends the prefix "a" to "engine-2"
    And 2 seconds pass
    Then front end 2 was told of the prefix "a" at engine-1, engine-2
    When a new front end is started and 3 seconds pass
    Then the new front end was told of all 400 pairs and 2 others

  Scenario: No storage instance of the domain is left
    Front ends go on with their own loads. They must neither stop nor ask
    storage instances of other domains, whose front ends have other loads.

    Given a domain with 2 storage instances and 2 busy front ends
    When all storage instances of the domain are killed
    And 4 seconds pass
    Then each front end logged that it has no collector
    And at most 4 further load reports were sent, none to another domain
    When the storage instances are started again and 3 seconds pass
    And front end 0 receives a load of "engine"
    Then within 0.42 seconds each other front end was told of it once

  Scenario: Two collectors at a time
    Front ends may disagree on which storage instance responds. Each half is
    told of its own loads, and all are told of all again once they agree.

    Given a domain with 2 storage instances and 4 busy front ends
    When front ends 0 and 1 do not reach the collector
    And 1 seconds pass
    And front end 0 receives a load of "engine-a"
    And front end 2 receives a load of "engine-b"
    And 1 seconds pass
    Then front end 1 was told of "engine-a" and not of "engine-b"
    And front end 3 was told of "engine-b" and not of "engine-a"
    When front ends 0 and 1 reach the collector again and 2 seconds pass
    And front end 0 receives a load of "engine"
    Then within 0.42 seconds each other front end was told of it once

  Scenario: An older load from another collector
    A front end that returns to a collector is told of loads that are older than
    what it knows.

    Given a domain with 2 storage instances and 4 busy front ends
    When front ends 0 and 1 do not reach the collector
    And 1 seconds pass
    And front end 2 receives a load of "engine"
    And 0.1 seconds pass
    And front end 0 receives another load of "engine"
    And 0.4 seconds pass
    Then front ends 0 and 1 return to the collector while it has the older load
    And front ends 0 and 1 were not told of the older load

  Scenario: Reports are counted
    Operators see from these figures whether the exchange works, and how old the
    loads are that placement uses.

    Given a domain with 3 storage instances and 2 busy front ends
    When 10 seconds pass
    Then both front ends have counted the loads that they sent and received
    And the ages that they have recorded are at most 0.42 seconds
