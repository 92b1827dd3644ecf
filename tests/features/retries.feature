Feature: Retries
  A failed call is retried at another endpoint, within a budget.

  Scenario: Endpoints crash and every call fails
    Half of a rack fails. Each failed call is retried, and the remaining
    endpoints get a multiple of the load when they have the least capacity.

    Given endpoints "a, b, c" that all break each call
    When 1200 calls are made one after the other
    Then fewer than 10 in 100 calls were retried

  Scenario: The naive scheduler retries all of them
    Given endpoints "a, b, c" that all break each call, with the naive scheduler
    When 200 calls are made one after the other
    Then each call was tried 3 times

  Scenario: A retry prefers another endpoint
    Given endpoints "a, b" of which "a" breaks each call
    When calls are made until one fails at "a"
    Then it is answered by "b"

  Scenario: Endpoints that are down beside one that crashes
    A call loses its endpoint to a crash, and the next endpoints that it tries
    are down. It has run only once; if it were refused now, its caller would get
    an error while another endpoint is idle.

    Given endpoints "a, b, c, d" of which "a" breaks calls and "b, c" are down
    When calls are made until one fails at "a, b, c"
    Then it is answered by "d"

  Scenario: An endpoint crashes with a call in flight
    The process of an endpoint ends between two tokens. The caller has not
    received anything yet, so the call can be retried without its notice.

    Given a system with two endpoints
    When the endpoint that runs a call is killed
    Then the call is answered by the other endpoint

  Scenario: The retry budget holds in any order of events
    Then retries never exceed 8 in 100 first tries plus the initial ten

  Scenario: A late program does not time out sooner
    In an overload late programs wait longest in the engines' queues. If each of
    them were restarted elsewhere after a short idle time, the overload would
    grow.

    Then a program past its target has no shorter timeout than one in time

  Scenario: No retry after the deadline
    Then a call past its deadline is not retried

  Scenario: An answer is continued at another endpoint
    The second endpoint repeats what the caller has. If its first token were
    counted only after that, the endpoint would be learned to read prompts
    slowly and to write fast, and would get the wrong calls.

    Given a stream that breaks after 2 parts and is continued elsewhere
    When the second endpoint repeats them, 0.1 s each, and ends the answer
    Then the caller gets each part once
    And the second endpoint's first token was counted at its first part
