Feature: A refusal with ran "no" means that the call did not run
  A refusal with ran "no" tells the caller that sending the request again
  cannot run it twice. Each such refusal is compared with the calls that the
  stand-ins counted.

  Background:
    Given a system for refusals

  Scenario Outline: A refused call reached no endpoint
    The instance refuses a call based on its own state. If the call had
    reached an endpoint anyway, a caller that sends it again would pay twice.

    When a call is made that is <case>
    Then it is refused with reason "<reason>" and ran "no"
    And the endpoints counted 0 calls
    And refusals for "<reason>" were counted

    Examples:
      | case                        | reason            |
      | broken JSON                 | bad_request       |
      | for an unknown model        | unknown_model     |
      | for an unknown service      | unknown_service   |
      | of an unknown class         | unknown_class     |
      | of an unknown program       | unknown_program   |
      | of an ended program         | program_ended     |
      | of another workspace        | foreign_program   |
      | a turn too far ahead        | turn_gap          |
      | beyond its budget           | budget_exhausted  |
      | beyond its turns            | budget_exhausted  |
      | beyond its seconds          | budget_exhausted  |
      | an act without a key        | bad_request       |
      | with a forged receipt       | receipt_invalid   |
      | too large                   | body_too_large    |
      | for a draining engine       | no_endpoint       |
      | for an engine that is down  | no_endpoint       |
      | for a service that is down  | no_endpoint       |
      | an act while the KV is down | store_unavailable |
      | a turn while the KV is down | budget_unreserved |

  Scenario Outline: The endpoint crashed with the call, and no other is available
    The endpoint crashes while it runs the call, and the retry finds no
    endpoint. The retry was never sent, but the first attempt may have run; a
    caller that got "no" would send it again.

    When a <kind> call runs at an endpoint that is killed
    Then it is refused with ran "unknown"

    Examples:
      | kind    |
      | chat    |
      | turn    |
      | service |

  Scenario: The owner and the endpoint crashed with the call
    The owner and the engine crash while a turn runs. The next owner finds no
    engine and never sent the turn, but the previous owner did.

    When a turn runs while its owner and its engine are killed
    Then it is refused with ran "unknown"
