"""The ``rattanmilld`` command."""

import argparse
import asyncio
import sys

from rattanmill_core import (
    RattanmillError,
    configure_logs,
    load_settings,
)
from rattanmill_entry.daemon import run_daemon
from rattanmill_wire import load_secret


def main() -> None:
    """Runs the daemon, or with ``--check`` only checks its settings."""
    parser = argparse.ArgumentParser(
        prog="rattanmilld", description="Entry daemon of rattanmill."
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument(
        "--check", action="store_true", help="only check the settings"
    )
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.settings)
        load_secret(settings.secret_file)
        if arguments.check:
            print(f"{arguments.settings}: ok")
            return
        configure_logs(settings.log_format, settings.log_level)
        asyncio.run(run_daemon(settings))
    except RattanmillError as error:
        print(error.message, file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
