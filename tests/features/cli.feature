Feature: The operators' command
  Operators drive the system with one command against any instance.

  Background:
    Given a system that all scenarios of the feature share

  Scenario: A target is stated and in force everywhere when the command ends
    When the operator runs "target set default 41 --percent 90"
    Then the command exits with 0
    And it prints "on 6 of 6 instances"
    And "classes.default.target_seconds" is 41 at every instance
    And "classes.default.target_percent" is 90 at every instance

  Scenario: A file is read, changed and applied
    When what "config show" prints is stored as "new.toml"
    And "target_percent = 90" is replaced by "target_percent = 91" in the file "new.toml"
    And the operator runs "config diff FOLDER/new.toml"
    Then it prints "classes.default.target_percent"
    When the operator runs "config apply FOLDER/new.toml --operator ann"
    Then the command exits with 0
    And "classes.default.target_percent" is 91 at every instance
    When the operator runs "config history"
    Then it prints "ann"
    When the operator runs "config apply FOLDER/new.toml"
    Then the command exits with 0

  Scenario: A file made from an older configuration
    Somebody edits a file for an hour; a colleague's change is accepted
    meanwhile. Were the file applied, the colleague's target would silently
    be gone.

    When what "config show --json" prints is stored as "old.json"
    And "41.0" is replaced by "42.0" in the file "old.json"
    And the operator runs "class set press target_seconds=9 --create"
    Then the command exits with 0
    When the operator runs "config apply FOLDER/old.json"
    Then the command exits with 6
    And it says "Read it and make the change again."
    And "classes.press.target_seconds" is 9 at every instance
    And "classes.default.target_seconds" is 41 at every instance

  Scenario: Back to an earlier configuration
    When the operator runs "target set default 77"
    And the operator runs "config rollback 1"
    Then the command exits with 0
    And "classes.default.target_seconds" is 41 at every instance

  Scenario: Operators change different classes at the same moment
    Six operators state targets for six classes before the release. Each reads
    the same document first; a target that was confirmed to its operator must
    not be lost to the others'.

    When 6 operators set targets of different classes at once
    Then all 6 targets are in force

  Scenario: Another class changes between reading and applying
    When the operator runs "class set evening target_seconds=30 --create"
    And another operator sets classes.evening.target_seconds to 31 while one sets classes.default.target_seconds to 51
    Then the first operator's change is accepted
    And "classes.evening.target_seconds" becomes 31 at every instance
    And "classes.default.target_seconds" becomes 51 at every instance

  Scenario: The same value changes between reading and applying
    Two operators state different targets for the same class. The one who
    comes second must hear of the first, or each believes in a target that is
    not in force.

    When another operator sets classes.default.target_seconds to 61 while one sets classes.default.target_seconds to 62
    Then the first operator is told of a conflict over "classes.default.target_seconds" with "ann"
    And "classes.default.target_seconds" becomes 61 at every instance

  Scenario: Endpoints are drained and taken back
    When the operator runs "endpoint drain engine-1"
    Then the command exits with 0
    When the operator runs "endpoint list"
    Then it prints "drained"
    When the operator runs "endpoint undrain engine-1"
    Then the command exits with 0
    When the operator runs "endpoint drain engine-9"
    Then the command exits with 2
    And it says "there are engine-1, office-1"

  Scenario: A program is shown and ended
    Given a program
    When the operator shows and ends the program
    Then it prints "ended"

  Scenario Outline: JSON for scripts
    When the operator runs "<command> --json"
    Then the command exits with 0
    And what it prints is JSON with "<path>"

    Examples:
      | command            | path                         |
      | status             | instances.0.config_number    |
      | config show        | classes.default              |
      | config history     | 0.operator                   |
      | class list         | default.target_seconds       |
      | class show default | max_turns                    |
      | endpoint list      | 0.in_flight                  |
      | target set default 55 | not_reached               |

  Scenario Outline: Errors say what to do, and the exit code which kind
    When the operator runs "<command>"
    Then the command exits with <code>
    And it says "<text>"

    Examples:
      | command                             | code | text                              |
      | class show nix                      | 2    | there are default                 |
      | class set default max_turns         | 2    | FIELD=VALUE                       |
      | class set default max_turns=0       | 5    | a whole number from 1             |
      | class set default max_turns=many    | 5    | a whole number from 1             |
      | config apply FOLDER/missing.toml    | 3    | cannot be read                    |
      | config show --number 99999          | 5    | kept are                          |
      | program show nothing                | 2    | DOMAIN.SHARD.TOKEN                |
      | program show alba-east.0.abc        | 5    | no such program                   |
      | status --address 127.0.0.1:1        | 4    | Try another instance              |
      | status --token-file FOLDER/missing  | 2    | no token can be read              |
      | config                              | 2    | usage                             |

  Scenario: Every error of a file is told in one go
    Given the file "wrong.toml" has
      """
      number = 1
      drained = "engine-1"
      spare = 1
      [classes.default]
      target_seconds = inf
      target_percent = 101
      [classes.Evening]
      [domains]
      alba-east = 6
      """
    When the operator runs "config check FOLDER/wrong.toml"
    Then the command exits with 3
    And it says "spare: is not known; allowed: number"
    And it says "drained: 'engine-1'; allowed: a list"
    And it says "classes.default.target_seconds: inf; allowed: a number above 0"
    And it says "classes.default.target_percent: 101; allowed: a number above 0 and up to 100"
    And it says "classes (name): 'Evening'; allowed: 1 to 63 lower-case"
    And it says "domains.alba-east: 6; allowed: a table"

  Scenario: A file that names no number
    Given the file "bare.toml" has
      """
      [classes.default]
      """
    When the operator runs "config apply FOLDER/bare.toml"
    Then the command exits with 2
    And it says "number: is missing"
