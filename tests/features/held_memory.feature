Feature: Memory that is held for requests
  What callers send is admitted by the memory that it takes, so that many of
  them together do not end a process.

  Scenario: Made-up sequences of bodies that arrive, stall, end and come anew
    Guards against a sum that exceeds the limit, and against memory that stays
    reserved.

    When 300 sequences of up to 60 bodies are admitted with seeds
    Then the sum exceeded the limit in none, but for one large body alone
    And everything was given back at the end of each

  Scenario: Small bodies beside large ones
    Guards against large bodies that leave nothing to ordinary calls.

    Given a limit of 20 MB
    When large bodies are admitted until one is refused
    Then a body of 64 KB is admitted

  Scenario: The largest body alone
    Guards against a limit that refuses what the configuration allows.

    Given a limit of 4 MB
    When a body of 1 KB is admitted
    Then a body of 12288 KB is admitted
    And a body of 64 KB is admitted
    And a body of 0 KB is admitted
    But another body of 1024 KB is refused

  Scenario Outline: A body that has stalled
    Guards against callers that stop just short of the end of their bodies, and
    keep all others out.

    Given a limit of 4 MB
    When bodies take all of it and <what> for <seconds> s
    Then a body of 64 KB is <outcome>
    And <count> of the others is revoked

    Examples:
      | what                          | seconds | outcome  | count |
      | stop                          | 0.5     | refused  | 0     |
      | stop                          | 1.5     | admitted | 1     |
      | send a byte every 100 ms      | 3       | admitted | 1     |
      | send 100 KB every 100 ms      | 3       | refused  | 0     |

  Scenario Outline: Connections of callers
    Guards against connections that use up the descriptors of a machine, and
    against one that is closed before its response is written.

    Given a front end that bears 10 connections
    When 10 connections are open, of which <idle> are idle and <written> have yet to write a response, and one more comes
    Then it is <outcome>, and <closed> is closed for it

    Examples:
      | idle | written | outcome  | closed          |
      | 4    | 0       | admitted | the oldest idle |
      | 4    | 1       | admitted | the next one    |
      | 1    | 1       | refused  | none            |
      | 0    | 0       | refused  | none            |

  Scenario: What is read of bodies in one turn of the event loop
    Guards against a crowd whose bodies take the event loop from all others.

    When 1 to 1000 connections bring bodies, in large and in small chunks
    Then one alone may have 32768 bytes read, and in small chunks 16384
    And all together at most 2 MB are read, and in small chunks 256 KB

  Scenario: Responses that are buffered
    Guards against responses that take the memory of requests, and against
    memory that is held for what was written.

    Given 8 MB for requests
    When responses are buffered in pieces of 16 KB as long as they may be
    Then none holds more than 272 KB, and all of them 4 MB
    And a request of 2 MB is let through
    When a buffered response is written
    Then its memory is given back piece by piece
    When a caller reads nothing of a buffered response for 2 seconds
    And requests of 8 MB arrive
    Then the connection of that caller is closed, and no other

  Scenario Outline: A process that takes more than usual
    Guards against a front end that outgrows its machine, as it holds what fits
    beside a smaller process.

    Given a machine of 88 MB, whose process takes <own> MB and holds <held> MB for requests
    When the budget is adapted
    Then <limit> MB may be held for requests

    Examples:
      | own | held | limit |
      | 40  | 0    | 14.4  |
      | 52  | 0    | 14.4  |
      | 62  | 0    | 10.4  |
      | 62  | 10   | 10.4  |
      | 77  | 0    | 4.4   |
      | 87  | 0    | 4     |
      | 95  | 2    | 4     |

  Scenario: Memory between blocks in use
    Guards against free memory that stays in the heap, and against a heap that
    is trimmed in calm.

    Given a machine of 88 MB, whose process takes 60 MB and holds 0 MB for requests
    When bodies of 3000 KB, 2000 KB, 100 KB, 4100 KB and 1 KB come and go
    Then the heap is trimmed after the second and the fourth of them

  Scenario: The process's memory isn't known
    Given a machine of 88 MB, whose process takes unknown memory
    When the budget is adapted
    Then 14.4 MB may be held for requests

  Scenario Outline: A machine that is too small
    Guards against an operator who sees refusals and no reason for them, also
    where the machine is too small from the start.

    Given a machine of <size> MB, whose process takes <own> MB and holds 0 MB for requests
    When the budget is adapted
    Then memory_short was logged <count> times

    Examples:
      | size | own | count |
      | 88   | 62  | 0     |
      | 88   | 87  | 1     |
      | 56   | 52  | 1     |
