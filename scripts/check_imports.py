"""Checks that each library imports only those it may build on."""

import ast
import pathlib
import sys

_ALLOWED = {
    "core": set(),
    "wire": {"core"},
    "platform": {"core"},
    "keeper": {"core", "wire", "platform"},
    "forward": {"core", "platform", "keeper", "policy"},
    "programs": {"core", "platform"},
    "policy": {"core", "platform"},
    "entry": {"core", "wire", "platform", "programs", "policy"},
    "cli": {"core"},
}
_PREFIX = "rattanmill_"


def imported(path: pathlib.Path) -> set[str]:
    """Returns the libraries of ours that a module imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return {
        name.split(".")[0].removeprefix(_PREFIX)
        for name in names
        if name.startswith(_PREFIX)
    }


def main() -> int:
    """Prints each import that is not allowed; returns the exit code."""
    wrong = [
        f"{path}: may not import {_PREFIX}{other}"
        for library, allowed in _ALLOWED.items()
        for path in pathlib.Path(f"libs/{library}").rglob("*.py")
        for other in sorted(imported(path) - allowed - {library})
    ]
    print("\n".join(wrong) or "Imports between the libraries are as allowed.")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
