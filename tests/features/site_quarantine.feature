Feature: Requests that crash the runners which run them, on the users' platform
  A caller sends such a request again, through whichever front it gets. Each
  run costs a runner for seconds, and what the others had there.

  Background:
    Given a system on the users' platform

  Scenario: A poisoned payment comes again through every front
    Three runners are gone with it. Each front has seen one crash only; if
    they did not tell each other, each would let two more die.

    When a poisoned payment has crashed a desk through each front
    And the fronts have heard of each other's crashes
    And the desks are started again
    Then the poisoned payment is refused with 503 at every front
    And no desk has seen it, and none is gone
    And other payments are answered with 200 at every front

  Scenario: A look-up that loses its runner again and again
    Runners die for reasons of their own, and some look-ups are the same for
    all callers. One that is answered in the end has crashed nothing.

    When a look-up has lost its desk 4 times and was answered by another
    Then the look-up is answered at every front
