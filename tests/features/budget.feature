Feature: A program never exceeds its budget
  The maximum cost of a call is reserved before it is sent. The tokens that
  the engines generated are compared with the budget, after crashes and pauses
  of instances.

  Background:
    Given a system for budgets

  Scenario: The owner crashes with a call in flight, repeatedly
    Each owner crashes while the engine runs a call of the program. The calls
    in flight have spent tokens that were never reported; a new owner that
    starts from the stored usage would spend them a second time.

    Given a program with a budget of 8000 tokens
    When the owner is killed with a turn in flight 2 times
    And turns are sent until the budget is spent
    Then the engines generated at most 8000 tokens for it
    And the last turn was refused with "budget_exhausted"

  Scenario: The old owner is resumed after a takeover
    The owner is paused between reserving and sending. Its replacement spends
    the rest of the budget; then the old owner is resumed and sends its call.

    Given a program with a budget of 8000 tokens
    When the owner is paused while it waits for an engine
    And turns are sent through the next owner until the budget is spent
    And the old owner is resumed and finishes
    Then the engines generated at most 8000 tokens for it

  Scenario: The old owner is resumed after a takeover, its engine crashed before
    As before, with an engine that had crashed and was restarted. Instances
    that saw the crash send it nothing at first; the owner must wait for it
    anyway.

    Given a program with a budget of 8000 tokens
    And the instances have noticed that the engine is down
    When the owner is paused while it waits for an engine
    And turns are sent through the next owner until the budget is spent
    And the old owner is resumed and finishes
    Then the engines generated at most 8000 tokens for it

  Scenario: An engine cuts every answer
    An engine generates all tokens, and its answers are lost each time. If
    these were not charged, the program would spend without limit.

    Given a program with a budget of 600 tokens
    And engines that cut streams and can't resume them
    When turns are sent until the budget is spent
    Then the engines generated at most 600 tokens for it

  Scenario: Sub-agents and their sub-agents spend concurrently
    Two sub-agents and their own sub-agents work at the same time as the
    program itself. Together they must stay within the program's budget.

    Given a program with a budget of 4000 tokens
    When sub-agents with 1200 tokens each are created until that is refused
    And each of them creates sub-agents with 500 tokens
    And all of them send turns concurrently until their budgets are spent
    Then the engines generated at most 4000 tokens for all of them

  Scenario: A sub-agent is created while a reservation is being committed
    A turn of the program has requested tokens and waits for the commit;
    meanwhile a sub-agent requests all that is left. A race once granted both.

    Given a program with a budget of 1000 tokens
    And commits of reservations are slow
    When a turn for 600 and a sub-agent with 900 tokens are requested
    Then not both are granted

  Scenario: A sub-agent is ended while its turn runs
    The rest of a sub-agent's budget is returned to its parent. If the rest
    were computed before the turn is settled, its tokens would be spent twice.

    Given a program with a budget of 2000 tokens
    When a sub-agent with 1000 tokens is ended while its turn runs
    And turns are sent until the budget is spent
    Then the engines generated at most 2000 tokens for all of them
    And the parent had more than 1000 tokens to spend

  Scenario: The parent is ended before its sub-agent
    The sub-agent keeps its part of the budget and gets no more.

    Given a program with a budget of 2000 tokens
    When the parent of a sub-agent with 1000 tokens is ended
    And the sub-agent sends turns until its budget is spent
    Then the engines generated at most 1000 tokens for the sub-agent

  Scenario: An engine reports more tokens than it was allowed
    A faulty engine reports more tokens than the call's limit. The program is
    not charged beyond its budget, and the fault is counted for operators.

    Given a program with a budget of 2000 tokens
    And engines that report 5000 tokens too many
    When a turn is sent
    Then the program shows at most 2000 tokens spent
    And the fault "over_report" of engines was counted

  Scenario: The last tokens can be used
    A turn requests more tokens than are left. It gets the rest of the budget,
    not a refusal.

    Given a program with a budget of 300 tokens
    When a turn requests 1000 tokens
    Then the turn is answered
    And the program shows at most 300 tokens spent
    And the program has spent more than 200 tokens

  Scenario: A program in a loop
    A program repeats the same request. It is stopped long before its budget
    is spent, with a separate reason.

    Given a program of a class that allows 3 repeats
    When the same turn is sent 4 times
    Then the last turn was refused with "loop_suspected"
    When a different turn is sent
    Then the turn is answered
