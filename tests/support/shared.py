"""One stack for the scenarios of a feature."""

from behave.runner import Context

from support.stack import Layout, Stack


def start(context: Context, layout: Layout) -> bool:
    """Starts a system that ends with the feature, or reuses it.

    What a step sets on the context ends with its scenario, so the running
    system is kept in a list that belongs to the feature.

    Returns:
        Whether it was started now.
    """
    running = context.feature_systems
    is_new = not running or running[-1].layout != layout
    if is_new:
        end(context)
        running.append(context.feature_stack.enter_context(Stack(layout)))
    context.system = running[-1]
    context.clients = [i.client for i in context.system.instances]
    return is_new


def end(context: Context) -> None:
    """Ends the feature's system; the next scenario starts another."""
    while context.feature_systems:
        context.feature_systems.pop().close()
