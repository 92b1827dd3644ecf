Feature: Logs and authentication
  Logs show what happened to which call, and nothing that operators must not
  see. Tokens and keys separate callers from operators.

  Background:
    Given a system with JSON logs and an instance that requires token and keys

  Scenario: Operators need the token, probes do not
    When "/v1/admin/status" is requested without a token
    Then the response status is 401
    When "/v1/admin/config" is requested with the bearer "not-the-token-at-all"
    Then the response status is 401
    When "/v1/admin/status" is requested with the operators' token
    Then the response status is 200
    When "/metrics" is requested without a token
    Then the response status is 200
    When "/readyz" is requested without a token
    Then the response status is 200
    When the operator's command requests the status with the token's file
    Then the command exits with 0
    When the operator runs "status" at that instance without the token
    Then the command exits with 5
    And it says "Give --token-file FILE"

  Scenario: A caller's workspace is that of its key
    When a program is created with the key of "leith" for workspace ""
    Then the program's workspace is "leith"
    When a program is created with the key of "leith" for workspace "portobello"
    Then the creation is refused with 403
    When a program is created without a key
    Then the creation is refused with 401

  Scenario: Programs of other workspaces are refused
    Program ids appear in tickets and logs. A reader of an id must not be able
    to read another firm's conversation or spend its budget.

    When a program is created with the key of "leith" for workspace ""
    Then the key of "portobello" may not show, run or end it, nor create a child of it
    And the operators' token may show it

  Scenario: Every line can be parsed and has the ids of its call
    When a streamed turn runs, and an act whose response is lost
    Then the refusal is logged once, with the ids of program and request
    And every line of every instance is JSON with time, level, part and message

  Scenario: Changes of owners are logged by the instance that makes them
    When an instance is stopped and its shards have new owners
    Then each new epoch is logged once among all instances

  Scenario: No secret, key or body is in any log
    More people can read a log than may read the commentary before its embargo.

    When calls with secrets in headers and bodies succeed and fail
    Then no log of any instance contains one of them

  Scenario: Text logs
    When a process logs in text a message of two lines and an exception
    Then each message is one line with its part and ids
    And the exception shows no values of variables

  Scenario: SIGHUP
    A closing terminal or a service manager's "reload" sends it. Its default
    action would end the process and abort every request.

    When SIGHUP is sent to an instance
    Then that is logged, and the instance continues

  Scenario: An unexpected error
    When a request causes an unexpected error in a separate daemon
    Then it is refused as "internal", and the daemon continues
    And the traceback is one line of JSON

  Scenario: A broken invariant
    A daemon finds an impossible state. If it continued, it would write the
    consequences to the log, and no restart would repair that.

    When a request causes a broken invariant in a separate daemon
    Then the daemon exits with 70 and prints the reason

  Scenario: A workspace gets a key at run time
    Callers are added and removed every day. A file that is only partially
    written when it is read must not cause valid keys to be refused.

    When the key file gets a key for "cramond"
    Then the key of "cramond" is soon accepted
    When the key file is truncated
    Then that is logged, and the key of "cramond" is still accepted
    When the key file loses the key of "cramond"
    Then the key of "cramond" is soon refused
