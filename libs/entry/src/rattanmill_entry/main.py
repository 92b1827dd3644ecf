"""The ``rattanmilld`` command."""

import argparse
import asyncio
import sys

from rattanmill_core import (
    RattanmillError,
    Settings,
    SettingsError,
    configure_logs,
    load_settings,
    open_secrets,
    part_logger,
    return_large_blocks,
)
from rattanmill_entry.access import load_access
from rattanmill_entry.daemon import run_daemon
from rattanmill_wire import load_secret

_log = part_logger("daemon")


def main() -> None:
    """Runs the daemon, or with ``--check`` only checks its settings."""
    parser = argparse.ArgumentParser(
        prog="rattanmilld",
        description="Entry daemon of rattanmill.",
        epilog="Exit codes: 0 ended as asked, 2 wrong arguments, 3 wrong"
        " settings, 70 broken invariant, 1 any other failure.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument(
        "--check", action="store_true", help="only check the settings"
    )
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.settings)
        _check_secrets(settings)
        if arguments.check:
            for warning in open_secrets(settings):
                print(f"warning: {warning}", file=sys.stderr)
            print(f"{arguments.settings}: ok")
            return
        configure_logs(settings.log_format, settings.log_level)
        for warning in open_secrets(settings):
            _log.warning("{}", warning)
        return_large_blocks()
        asyncio.run(run_daemon(settings))
    except RattanmillError as error:
        print(error.message, file=sys.stderr)
        sys.exit(error.exit_code)


def _check_secrets(settings: Settings) -> None:
    """Reads every file with secrets and reports all errors at once."""
    errors = []
    for load in (
        lambda: load_secret(settings.secret_file),
        lambda: load_access(settings),
    ):
        try:
            load()
        except SettingsError as error:
            errors.append(error.message)
    if errors:
        raise SettingsError("\n".join(errors))


if __name__ == "__main__":
    main()
