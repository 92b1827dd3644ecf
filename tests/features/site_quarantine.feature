Feature: Requests that crash endpoints, on the users' platform
  A caller sends such a request again, through any front end. Each run costs an
  endpoint for seconds, and the other calls that ran there.

  Background:
    Given a system on the users' platform

  Scenario: A poisoned payment is retried through every front end
    It has crashed three endpoints. Each front end has seen only one crash; if
    they did not tell each other, each would let it crash two more.

    When a poisoned payment has crashed a desk endpoint through each front end
    And the front ends know each other's crashes
    And the desk endpoints are restarted
    Then the poisoned payment is refused with 503 at every front end
    And no desk endpoint received it, and none has terminated
    And other payments are answered with 200 at every front end

  Scenario: A look-up loses its endpoint again and again
    Endpoints terminate for other reasons, too, and some look-ups are the same
    for all callers. One that is answered in the end has crashed nothing.

    When a look-up has lost its endpoint 4 times and was answered by another
    Then the look-up is answered at every front end
