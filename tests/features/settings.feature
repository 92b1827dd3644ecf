Feature: Settings
  A wrong file is told of whole before anything starts.

  Scenario: A right file
    Given a settings file
    When the settings are checked
    Then the check ends with 0 and says "ok"
    And the check says nothing of "warning"

  Scenario: Every error in one go
    An operator mends one error, starts again, and meets the next, at night and
    on nine instances.

    Given a settings file with these changes
      | key                    | value                    |
      | instance.name          | "Alba East"              |
      | instance.http          | "300.0.0.1:80"           |
      | instance.peer          | "127.0.0.1:70000"        |
      | instance.domain        | {"alba-east" = 1}        |
      | instance.spare         | 1                        |
      | platform.kv            | 5                        |
      | platform.domains       | []                       |
      | platform.lease_seconds | true                     |
      | limits                 | 7                        |
      | log                    | [1, 2]                   |
      | extra                  | {}                       |
      | secret                 | "text outside any table" |
    When the settings are checked
    Then the check ends with 3 and says all of
      """
      instance.name: 'Alba East'; allowed: a lower-case name
      instance.http: '300.0.0.1:80'; allowed: IP:PORT
      instance.peer: '127.0.0.1:70000'; allowed: IP:PORT
      instance.domain: {'alba-east': 1}; allowed: a lower-case name
      instance.spare: is not a setting
      platform.kv: 5; allowed: an http URL
      platform.domains: []; allowed: a list of names
      platform.lease_seconds: True; allowed: 0.5 to 60
      limits: 7; allowed: a table, [limits]
      log: [1, 2]; allowed: a table, [log]
      extra: is not a table of settings
      secret: is not a table of settings
      """

  Scenario Outline: One error
    Given a settings file with <key> set to <value>
    When the settings are checked
    Then the check ends with 3 and says "<text>"

    Examples:
      | key                  | value                | text                                    |
      | instance.domain      | "elsewhere"          | is not in platform.domains              |
      | instance.peer        | "127.0.0.1:18080"    | is the same address as instance.http    |
      | instance.http        | "localhost:80"       | instance.http: 'localhost:80'; allowed: IP:PORT |
      | peers.secret_file    | "/nowhere/at/all"    | /nowhere/at/all: no usable secret key   |
      | operators.token_file | "/nowhere/at/all"    | /nowhere/at/all: cannot be read         |
      | callers.keys_file    | "FOLDER/short-keys"  | leith: is not a key; allowed: 16 to 200 |
      | callers.keys_file    | "FOLDER/same-keys"   | portobello: has the key of leith        |
      | platform             | "none"               | platform: 'none'; allowed: a table      |

  Scenario: A secret that others may read
    Whoever reads the peers' key can speak as an instance. Nothing fails when
    the file's mode is too wide, so nobody would notice.

    Given a settings file
    And the secret file may be read by all
    When the settings are checked
    Then the check ends with 0 and says "mode 644; allowed to its owner only"

  Scenario: An address that is taken
    Given a settings file
    And another process listens on the address for callers
    When the daemon is started
    Then it ends with 3 and says "instance.http: 127.0.0.1:18080 cannot be used"

  Scenario: The page lists every setting as the code has it
    When docs/SETTINGS.md is compared with the code
    Then its rows are the settings, with what is allowed and the defaults
