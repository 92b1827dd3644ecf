Feature: A program starts without work that can be done before
  All processes of a release start while callers wait.

  Scenario: The deployment makes bytecode of all that runs
    The programs may not write where they run from: without it they compile
    themselves at each start.

    When a clean copy is built as deployed
    Then each of its modules has bytecode that holds for a copy of any age

  Scenario: Imports run without collections, and the process with them
    Guards against a process whose garbage is never collected, since collections
    are off while it imports.

    When a process of each program has started
    Then collections are on, and off while it imported

  Scenario Outline: A process does not import what it does not need to listen
    Guards against imports that come back unnoticed. After a power loss a process
    has a third of a core, and callers wait three times as long as they take.

    When a process of each program has started
    Then "<program>" has not imported <modules>

    Examples:
      | program | modules                                            |
      | front   | opentelemetry, prometheus_client                   |
      | front   | aiohttp.web, aiohttp.web_app                       |
      | storage | opentelemetry, prometheus_client                   |
      | storage | aiohttp, yarl, multidict, attr                     |
      | front   | rattanmill_keeper.keeper, rattanmill_site.storage  |
      | storage | rattanmill_forward, rattanmill_site.front          |

  Scenario: Metrics that are recorded before they are first read
    Guards against counts that are lost, or durations that are in the wrong
    bucket, because what exposes them was not loaded yet.

    Then random records are exposed in full, whenever they are first read

  Scenario: Nobody reads the metrics
    Guards against a process whose memory grows with each call until its metrics
    are read, and against a limit that drops records.

    When 10000 durations and counts are recorded before the metrics are read
    Then at most 4096 of them were ever held
    And all 10000 durations and counts are exposed

  Scenario: The metrics are first read while the process serves
    Guards against callers who wait while the libraries of the metrics load.

    When metrics of a fresh process are read from its event loop
    Then they were imported in another thread than the loop's
