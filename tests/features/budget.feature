Feature: A program never exceeds its budget
  What a call can cost at most is reserved before it is sent. What the engines
  made is held against the budget, whoever died or slept meanwhile.

  Background:
    Given a system for budgets

  Scenario: The owner dies with a call in flight, again and again
    Each owner dies while the engine works for the program. The calls that
    were in flight have spent tokens nobody reported; a new owner that starts
    from the usage that was kept would spend them a second time.

    Given a program with a budget of 8000 tokens
    When the owner dies with a turn in flight 2 times
    And turns are sent until the budget is spent
    Then the engines made at most 8000 tokens for it
    And the last turn was refused with "budget_exhausted"

  Scenario: The old owner wakes up after a takeover
    The owner is frozen between reserving and sending. Its replacement spends
    what is left; then the old owner wakes up and sends its call.

    Given a program with a budget of 8000 tokens
    When the owner is frozen while it waits for an engine
    And turns are sent through the next owner until the budget is spent
    And the old owner wakes up and finishes
    Then the engines made at most 8000 tokens for it

  Scenario: The old owner wakes up after a takeover, its engine died before
    The same with an engine that had died and is back: whoever saw it dead
    sends it nothing at first, and the owner must wait for it all the same.

    Given a program with a budget of 8000 tokens
    And the instances have seen the engine die
    When the owner is frozen while it waits for an engine
    And turns are sent through the next owner until the budget is spent
    And the old owner wakes up and finishes
    Then the engines made at most 8000 tokens for it

  Scenario: An engine cuts every answer
    An engine makes all tokens and its answers are lost each time. Uncounted,
    the program would spend without end.

    Given a program with a budget of 600 tokens
    And engines that cut streams and can't resume them
    When turns are sent until the budget is spent
    Then the engines made at most 600 tokens for it

  Scenario: Sub-agents spend at once, and theirs do
    Two sub-agents and their own sub-agents all work at the same time as the
    program itself. Together they must stay within the budget of the first.

    Given a program with a budget of 4000 tokens
    When sub-agents with 1200 tokens each are made until that is refused
    And each of them makes sub-agents with 500 tokens
    And all of them send turns at once until their budgets are spent
    Then the engines made at most 4000 tokens for all of them

  Scenario: A sub-agent is made while a reservation is being committed
    A turn of the program has asked for its share and waits for the commit;
    meanwhile a sub-agent asks for all that is left. Both were given it once.

    Given a program with a budget of 1000 tokens
    And commits of reservations are slow
    When a turn for 600 and a sub-agent with 900 tokens are asked for
    Then not both are granted

  Scenario: A sub-agent is ended while its turn runs
    What is left of a sub-agent's budget goes back to its parent. If it were
    counted before the turn is settled, the turn's tokens would be spent twice.

    Given a program with a budget of 2000 tokens
    When a sub-agent with 1000 tokens is ended while its turn runs
    And turns are sent until the budget is spent
    Then the engines made at most 2000 tokens for all of them
    And the parent had more than 1000 tokens to spend

  Scenario: The parent is ended while its sub-agent lives
    The parent goes first. The sub-agent keeps its share and no more.

    Given a program with a budget of 2000 tokens
    When a sub-agent with 1000 tokens outlives its parent
    And the sub-agent sends turns until its budget is spent
    Then the engines made at most 1000 tokens for the sub-agent

  Scenario: An engine reports more than it was allowed
    A faulty engine claims tokens beyond what it was given. The program is
    not charged beyond its budget, and operators see which fault it is.

    Given a program with a budget of 2000 tokens
    And engines that report 5000 tokens too many
    When a turn is sent
    Then the program shows at most 2000 tokens spent
    And the fault "over_report" of engines was counted

  Scenario: The last tokens can be used
    A turn asks for more than is left. It gets what is left, not a refusal.

    Given a program with a budget of 300 tokens
    When a turn asks for 1000 tokens
    Then the turn is answered
    And the program shows at most 300 tokens spent
    And the program has spent more than 200 tokens

  Scenario: A program that loops
    A program asks the same again and again. It is stopped long before its
    budget is gone, with a reason of its own.

    Given a program of a class that allows 3 repeats
    When the same turn is sent 4 times
    Then the last turn was refused with "loop_suspected"
    When a different turn is sent
    Then the turn is answered
