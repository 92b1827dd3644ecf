"""One stack for the scenarios of a feature."""

from behave.runner import Context

from support.stack import Layout, Stack


def start(context: Context, layout: Layout) -> None:
    """Starts a system that ends with the feature, or reuses it.

    What a step sets on the context ends with its scenario, so the running
    system is kept in a list that belongs to the feature.
    """
    running = context.feature_systems
    if not running or running[-1].layout != layout:
        context.feature_stack.close()
        # Close pops the stack's callbacks, so it can be used again.
        running.append(context.feature_stack.enter_context(Stack(layout)))
    context.system = running[-1]
    context.clients = [i.client for i in context.system.instances]
