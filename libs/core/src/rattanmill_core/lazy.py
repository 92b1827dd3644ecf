"""Packages that import their modules when a name is first used.

A process that restarts has to listen again soon, on machines with a third of a
core. Each program uses a part of the libraries only.
"""

import importlib
from collections.abc import Callable, Mapping
from typing import Any


def import_on_use(
    package: str, exports: Mapping[str, tuple[str, ...]]
) -> Callable[[str], Any]:
    """Returns a package's ``__getattr__``, which imports what is asked for.

    Args:
        package: Name of the package.
        exports: Exported names by the module that defines them.

    Returns:
        The function; it raises ``AttributeError`` for any other name.
    """
    modules = {
        name: f"{package}.{module}"
        for module, names in exports.items()
        for name in names
    }

    def get(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"{package} has no attribute {name}")
        return getattr(importlib.import_module(modules[name]), name)

    return get
