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
