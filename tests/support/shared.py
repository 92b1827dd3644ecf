"""One stack for the scenarios of a feature."""

from behave.runner import Context

from support.stack import Layout, Stack


def start(context: Context, layout: Layout) -> None:
    """Starts a system that ends with the feature, or reuses it."""
    if context.system is None or context.system.layout != layout:
        context.feature_stack.close()
        context.system = context.feature_stack.enter_context(Stack(layout))
        # Close pops the stack's callbacks, so it can be used again.
    context.clients = [i.client for i in context.system.instances]
