Feature: Headers that cannot be decoded
  An unknown form of a header is counted and logged, and the message is handled
  as if it did not have the header.

  Scenario Outline: Endpoints report their load
    An endpoint that adds a figure to its report would look idle to each front
    end, and get calls while others have free slots.

    When an endpoint reports the load "<text>"
    Then the load is <running> running, <waiting> waiting and <slots> slots with a slowdown of <slowdown>
    And no header is undecodable

    Examples:
      | text             | running | waiting | slots | slowdown |
      | 3,0,8            | 3       | 0       | 8     | None     |
      | 3, 1, 8, 250     | 3       | 1       | 8     | 2.5      |
      | 3,1,8,100,7      | 3       | 1       | 8     | 1.0      |
      | 3,1,8,0          | 3       | 1       | 8     | None     |
      | 3,1,8,100,high   | 3       | 1       | 8     | 1.0      |

  Scenario Outline: A response has a header of an unknown form
    Nobody would notice that all load reports are ignored.

    When an endpoint responds twice with the header "<name>" of "<value>"
    Then "<name>" is counted as undecodable twice and logged once

    Examples:
      | name          | value   |
      | x-server-load | 3;0;8   |
      | x-server-load | 3,0     |
      | x-server-load | 3,-1,8  |
      | x-server-load | 3,²,8   |
      | keep-alive    | timeout=soon |

  Scenario Outline: A request has a header of an unknown form
    Its prompt would be taken for empty, and its budget for none.

    When a caller sends the header "<name>" of "<value>"
    Then "<name>" of the request is undecodable
    And the request is decoded as if it did not have "<name>"

    Examples:
      | name            | value      |
      | x-token-usage   | 12         |
      | x-token-usage   | 12;34      |
      | x-token-budget  | 4 thousand |
      | x-length-hint   | -4         |
      | x-finish-ms     | soon       |
      | x-deadline-ms   | nan        |
      | x-deadline-ms   | 1e999      |
      | x-prompt-prefix | 5c1e07a2   |
