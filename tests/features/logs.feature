Feature: Logs, and who may ask what
  Logs tell what happened to which call, and nothing that is not the
  operators' to know. Tokens and keys keep callers and operators apart.

  Background:
    Given a system with logs in JSON and an instance that asks for token and keys

  Scenario: Operators need the token, probes do not
    When "/v1/admin/status" is asked for without a token
    Then the asking is answered with 401
    When "/v1/admin/config" is asked for with the bearer "not-the-token-at-all"
    Then the asking is answered with 401
    When "/v1/admin/status" is asked for with the operators' token
    Then the asking is answered with 200
    When "/metrics" is asked for without a token
    Then the asking is answered with 200
    When "/readyz" is asked for without a token
    Then the asking is answered with 200
    When the operator's command asks for the status with the token's file
    Then the command exits with 0
    When the operator runs "status" at that instance without the token
    Then the command exits with 5
    And it says "Give --token-file FILE"

  Scenario: A caller's workspace is its key's
    When a program is made with the key of "leith" for workspace ""
    Then the program's workspace is "leith"
    When a program is made with the key of "leith" for workspace "portobello"
    Then the making is refused with 403
    When a program is made without a key
    Then the making is refused with 401

  Scenario: Programs of other workspaces are refused
    Program ids end up in tickets and logs. Whoever reads one must not be able
    to read another firm's conversation, or spend its budget.

    When a program is made with the key of "leith" for workspace ""
    Then the key of "portobello" may not show, run or end it, nor have a child of it
    And the operators' token may show it

  Scenario: Every line parses and carries the ids of its call
    When a streamed turn runs, and an act whose answer is lost
    Then the refusal is logged once, with the ids of program and request
    And every line of every instance is JSON with time, level, part and message

  Scenario: Changes of owners are logged by whoever makes them
    When an instance is ended and its shards have new owners
    Then each new epoch is logged once among all instances

  Scenario: No secret, key or body is in any log
    A log goes to more people than may read the commentary before its embargo.

    When calls with secrets in headers and bodies succeed and fail
    Then no log of any instance has one of them

  Scenario: Text logs
    When a process logs in text a message of two lines and an exception
    Then each message is one line with its part and ids
    And the exception shows no values of variables

  Scenario: SIGHUP
    A terminal that closes, or a service manager that means "reload", sends
    it. Its default would end the process and cut off every request.

    When SIGHUP is sent to an instance
    Then that is logged, and the instance goes on

  Scenario: An error that nobody expected
    When a request meets an error in a daemon of its own
    Then it is refused as "internal", and the daemon goes on
    And the traceback is one line of JSON

  Scenario: A broken invariant
    The state that a daemon finds is impossible. If it went on, it would write
    what follows from it into the log, and no restart would mend that.

    When a request meets a broken invariant in a daemon of its own
    Then the daemon ends with 70 and says why

  Scenario: A workspace gets a key while the instances run
    Callers join and leave every day; a file that is half written when it is
    read must lock nobody out.

    When the file of keys gets a key for "cramond"
    Then the key of "cramond" is soon accepted
    When the file of keys is cut off in the middle
    Then that is logged, and the key of "cramond" is still accepted
    When the file of keys loses the key of "cramond"
    Then the key of "cramond" is soon refused
