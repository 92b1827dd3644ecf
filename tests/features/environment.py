"""Behave hooks: stacks live as long as a feature, faults as a scenario."""

import contextlib
import os

from support.shared import end

_LINES = 15
_KNOWN_RED = frozenset(os.environ.get("KNOWN_RED", "").splitlines())


def before_feature(context, feature):
    context.feature_stack = contextlib.ExitStack()
    context.system = None
    context.feature_systems = []


def after_feature(context, feature):
    context.feature_stack.close()


def before_scenario(context, scenario):
    if scenario.name.strip() in _KNOWN_RED:
        scenario.skip("known to fail")
    context.scenario_stack = contextlib.ExitStack()


def after_scenario(context, scenario):
    is_well = scenario.status.name in ("passed", "skipped")
    if not is_well and context.system:
        print(context.system.last_output(_LINES))
    try:
        context.scenario_stack.close()
    except BaseException:
        is_well = False
        raise
    finally:
        # What a scenario that broke off leaves behind must not fail others.
        if not is_well:
            end(context)


def before_all(context):
    context.config.setup_logging()
