"""The ``rattanmill`` command: its subcommands and its exit codes."""

import sys

import defopt

from rattanmill_cli import classes, config, explain, system
from rattanmill_core import RattanmillError

COMMANDS = {
    "status": system.status,
    "explain": explain.explain,
    "config": {
        "show": config.show,
        "check": config.check,
        "diff": config.diff,
        "apply": config.apply,
        "history": config.history,
        "rollback": config.rollback,
    },
    "class": {
        "list": classes.list_classes,
        "show": classes.show,
        "set": classes.set_class,
    },
    "target": {"set": classes.set_target},
    "endpoint": {
        "list": system.list_endpoints,
        "drain": system.drain,
        "undrain": system.undrain,
    },
    "program": {"show": system.show_program, "end": system.end_program},
}
_INTERRUPTED_EXIT_CODE = 130


def main(argv: list[str] | None = None) -> None:
    """Runs one command; docs/operators/cli.md lists the exit codes.

    Args:
        argv: Arguments, or None for those of the process.
    """
    try:
        defopt.run(
            COMMANDS,
            argv=argv,
            short={},
            no_negated_flags=True,
            argparse_kwargs={"prog": "rattanmill"},
        )
        sys.stdout.flush()
    except RattanmillError as error:
        print(error.message, file=sys.stderr)
        sys.exit(error.exit_code)
    except KeyboardInterrupt:
        sys.exit(_INTERRUPTED_EXIT_CODE)


if __name__ == "__main__":
    main()
