Feature: What may start, and what goes first
  Programs are refused at once when they could not be in time, and those
  under way go before new ones.

  Scenario: Too much work
    More programs arrive than the runners can serve. Those that wait too long
    miss their target, and so do all that were in time before them.

    Given a system whose only runner stands still
    When 12 programs of class "hurried" send their first turn
    Then some are refused as "overloaded" with a time to come back
    And each of those refused was told so while the runner stood still
    When the runner goes on
    Then all that were not refused are answered

  Scenario: A new target takes effect without a restart
    Operators see programs refused that they would rather have wait, and give
    their class a longer target. Nothing is restarted.

    Given a system whose only runner stands still
    When 12 programs of class "hurried" send their first turn
    Then some are refused as "overloaded" with a time to come back
    When the target of "hurried" becomes 600 s
    Then a program of class "hurried" is not refused any more

  Scenario: Programs under way go before new ones
    A family is in the middle of its booking while others begin theirs. If it
    has to wait behind them, its seating fills, and the work was for nothing.

    Given a runner with one place, which is taken
    When a new program waits for it, and then one under way
    Then the one under way gets it first

  Scenario: First come, first served lets it wait
    Given a runner with one place, which is taken, without an order
    When a new program waits for it, and then one under way
    Then the new one gets it first

  Scenario: One workspace floods
    A branch starts a hundred programs at once. The calls of another branch
    would wait behind all of them.

    Given a runner with one place, which is taken by workspace "flood"
    When workspace "flood" has 30 calls waiting and "small" then 1
    Then the call of "small" is among the first 3

  Scenario: Without shares it waits behind the flood
    Given a runner with one place, which is taken by workspace "flood", without shares
    When workspace "flood" has 30 calls waiting and "small" then 1
    Then the call of "small" is the last

  Scenario: Engines get the same order
    Calls queue inside engines, too. If they went there in the order they came,
    ours would be worth nothing.

    Then a call under way has a higher priority than a new one placed before it

  Scenario: Room is kept for workspaces within their share
    A branch has used three times its share of the last seconds. When there is
    room for some programs only, another branch's come first.

    Then a workspace within its share is admitted whenever one over it is
    And at half of the allowed wait only the one within its share is

  Scenario: A call that waits past its deadline
    A caller sets a deadline, and no place comes free in time.

    Given a runner with one place, which is taken
    When a call with a deadline of 2 s waits for it
    Then it is refused as "overloaded" by its deadline, and holds no place

  Scenario: Nothing starves
    Then whatever waits for four targets goes before all that comes later

  Scenario: Sub-agents count for their parent
    A program that splits itself into sub-agents would look new and small
    each time, and pass all others.

    Then a sub-agent goes no earlier than its parent would

  Scenario: Those that were refused don't come back all at once
    Then no two refusals of a moment give the same time to come back
    And the times are as far apart as programs begin

  Scenario: The limit follows what the runner can do
    Then a runner's limit falls while calls are slow and grows while not

  Scenario: A class that was not used for a week
    A class is used for the monthly release only. The weights of what was
    seen grow with the time since then, and its next call must not fail.

    Given a class that saw 100 programs of 4 calls
    When it is used again a week later by 100 programs of 9 calls
    Then the percentile 95 of its calls is 9
