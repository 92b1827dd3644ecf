Feature: Retries
  A call that failed is tried at another endpoint, within a budget.

  Scenario: Endpoints crash and every call fails
    Half of a rack goes. Each failed call comes back, and the endpoints that
    are left get a multiple of the load just when they can bear the least.

    Given runners "a, b, c" of which all break each call
    When 1200 calls are made one after the other
    Then fewer than 10 in 100 calls were tried again

  Scenario: The naive version tries all of them again
    Given runners "a, b, c" of which all break each call, before the naive version
    When 200 calls are made one after the other
    Then each call was tried 3 times

  Scenario: Another endpoint comes first
    Given runners "a, b" of which "a" breaks each call
    When calls are made until one fails at "a"
    Then it is answered by "b"

  Scenario: Endpoints that are down beside one that dies
    A call loses its endpoint to a crash, and the next ones that it tries are
    down as well. It has run once; refused now, its caller would be told of a
    failure while another endpoint stands idle.

    Given runners "a, b, c, d" of which "a" breaks each call and "b, c" are down
    When calls are made until one fails at "a, b, c"
    Then it is answered by "d"

  Scenario: A runner dies with a call in flight
    The process of a runner ends between two tokens. The caller has seen
    nothing yet and should not need to know.

    Given a system with two runners
    When the runner that has a call is killed
    Then the call is answered by the other one

  Scenario: The budget holds in any order of events
    Then retries never pass 8 in 100 first tries and the ten of the start

  Scenario: A late program is not given up sooner
    In an overload late programs wait longest in engines' queues. If each of
    them began again elsewhere after a short silence, the overload would grow.

    Then a program past its target is waited for as long as one in time

  Scenario: No retry after the deadline
    Then a call past its deadline is not tried again
