"""Behave hooks: stacks live as long as a feature, faults as a scenario."""

import contextlib
import os

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
    context.scenario_stack.close()
    if scenario.status.name not in ("passed", "skipped") and context.system:
        for instance in context.system.instances:
            print(f"--- {instance.name}\n{instance.process.tail(15)}")


def before_all(context):
    context.config.setup_logging()
