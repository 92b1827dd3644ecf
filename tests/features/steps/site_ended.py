"""Steps about faults right after turns of programs with small budgets."""

from behave import given, then, when
from steps.site import send_turn, site

from support import wait_until
from support.site import DOMAINS

# Of at most 100 tokens each, of which the engine's answers use 40.
_BUDGET = {"X_Token_Budget": "200", "X_Token_Usage": "10,100"}
_DECIDED = (200, 402, 404, 410)


def run_turn(context, domain, program, previous=""):
    """Runs a turn, again while it is refused for a while; returns its id."""
    headers = {"X_Previous_Turn": previous} if previous else {}

    def is_decided():
        send_turn(context, domain, "on ", program, **_BUDGET, **headers)
        return context.answer.status in _DECIDED

    wait_until(is_decided, "the turn is served or refused for good")
    assert context.answer.status == 200, (program, context.answer)
    return context.request


@given('{count:d} programs whose second turn "{domain}" has answered just now')
def step_programs(context, count, domain):
    programs = [f"program-{number}" for number in range(count)]
    firsts = {
        program: run_turn(context, domain, program) for program in programs
    }
    context.last = {
        program: run_turn(context, domain, program, first)
        for program, first in firsts.items()
    }


@when("all front ends are killed and restarted")
def step_kill_all(context):
    system = site(context)
    for domain in DOMAINS:
        system.processes[f"front-{domain}"].kill()
    for domain in DOMAINS:
        system.start("front", domain)
    for domain in DOMAINS:
        wait_until(lambda d=domain: system.is_ready(d), f"{domain} is ready")


@when('the front end of "{domain}" is killed')
def step_kill(context, domain):
    site(context).processes[f"front-{domain}"].kill()


@then('the next turn of each program runs at "{domain}"')
def step_next(context, domain):
    for program, previous in context.last.items():
        run_turn(context, domain, program, previous)
        assert site(context).received_requests(context.request), program
