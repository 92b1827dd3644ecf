Feature: Requests that are sent in parts
  Long requests between instances arrive in parts, and are put together by the
  instance that serves them.

  Scenario: Made-up sequences of parts
    Guards against requests that are put together from parts of others, and
    against memory that is held for requests that never become whole.

    Then in 300 made-up sequences each request is whole or not served at all
    And no memory stays reserved once all of them are whole or given up

  Scenario Outline: Parts that are not accepted
    Given memory for 1000000 bytes of requests of up to 600000 bytes
    When a part of <part> bytes at <offset> of <size> arrives
    Then the part is <outcome>

    Examples: too long, short enough to come whole, without a beginning
      | part  | offset | size   | outcome |
      | 65536 | 0      | 600001 | refused |
      | 100   | 0      | 100    | refused |
      | 65536 | 65536  | 200000 | dropped |
      | 65536 | 0      | 600000 | awaited |
      | 99999 | 0      | 70000  | dropped |

  Scenario: A request whose sender has given it up
    Guards against memory that is held for it for good.

    Given memory for 1000000 bytes of requests of up to 600000 bytes
    When a part of 65536 bytes at 0 of 600000 arrives
    And its sender sends nothing for 61 seconds
    And a part of 65536 bytes at 0 of 500000 arrives
    Then the part is awaited
    And memory for 500000 bytes is reserved
