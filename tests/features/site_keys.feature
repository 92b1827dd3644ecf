Feature: Keys of workspaces on the users' platform
  Each caller belongs to a workspace, which its key shows. The operators add and
  revoke keys at any time.

  Background:
    Given a system on the users' platform
    And workspaces "red" with key "red-key-1" and "blue" with key "blue-key-1"

  Scenario: The endpoint learns the workspace and not the key
    A key that reaches an endpoint could be used by whoever reads its logs.

    When a payment with these headers is sent to "east":
      | Authorization | Bearer red-key-1 |
      | X-Tenant      | blue             |
      | x-tenant      | blue             |
    Then it is answered with 200
    And the endpoint received the workspace "red" and no key

  Scenario Outline: A request without one valid key
    When a payment with these headers is sent to "east":
      | <name> | <value> |
    Then it is answered with 401
    And no endpoint received it

    Examples:
      | name          | value                          |
      | X-Other       | nothing                        |
      | Authorization | Bearer                         |
      | Authorization | red-key-1                      |
      | Authorization | Basic red-key-1                |
      | Authorization | Bearer RED-KEY-1               |
      | Authorization | Bearer red-key-1 red-key-1     |
      | Authorization | Bearer red-key-1, red-key-1    |
      | Authorization | Bearer red-key-1é              |
      | X-Tenant      | red                            |

  Scenario: A request with the keys of two workspaces
    When a payment with these headers is sent to "east":
      | Authorization | Bearer red-key-1  |
      | authorization | Bearer blue-key-1 |
    Then it is answered with 401
    And no endpoint received it

  Scenario: A key in the path or the body
    When a payment whose path and body contain a key is sent to "east": "red-key-1"
    Then it is answered with 401
    And no endpoint received it

  Scenario: A very long key
    When a payment with a key of 60000 letters is sent to "east"
    Then it is answered with 431
    And no endpoint received it

  Scenario: A route for everybody
    When a look-up of the public route is sent to "east" without a key
    Then it is answered with 200
    And the endpoint received no workspace and no key

  Scenario: A turn of another workspace
    Its text must not reach a caller who has guessed or seen its id.

    When a turn "secret " of "red" in program "k1" is sent to "east"
    Then it is answered with 200
    When the next turn "tell" of "blue" in program "k1" is sent to "west"
    Then it is answered with 404
    And no endpoint received it
    When the next turn "tell" of "red" in program "k1" is sent to "west"
    Then it is answered with 200

  Scenario: Two workspaces whose programs have the same id
    One would use up the budget of the other.

    When turns of "red" in program "k2" use up its budget
    And a turn "mine" of "blue" in program "k2" is sent to "west"
    Then it is answered with 200

  Scenario: Keys are revoked and added
    When the key of "red" is replaced by "red-key-2"
    Then payments with the key "red-key-1" are answered with 401 at every front end within 2 seconds
    And payments with the key "red-key-2" are answered with 200 at every front end

  Scenario: The store is unreachable for longer than a revoked key may be accepted
    Nobody can tell whether a key is still valid, and callers must not be told
    that it is not.

    When the store is unreachable for 4 seconds
    Then payments with the key "red-key-1" are answered with 200 at first and with 503 at last
    And no front end is ready
    When the store is reachable again
    Then payments with the key "red-key-1" are answered with 200 at every front end within 3 seconds

  Scenario: Keys are in no log and no metric
    When a payment with these headers is sent to "east":
      | Authorization | Bearer blue-key-1 |
    And a payment with these headers is sent to "east":
      | Authorization | Bearer unknown-key-7 |
    Then no log, metric or file of the system contains "-key-"

  Scenario: A configuration without workspaces
    The header belongs to the endpoint then.

    Given a configuration without workspaces
    When a payment with these headers is sent to "east":
      | Authorization | Bearer of-the-endpoint |
    Then it is answered with 200
    And the endpoint received the header "authorization" with "Bearer of-the-endpoint"
