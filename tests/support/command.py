"""Runs the operators' command as a process of its own."""

import os
import subprocess
import sys


def run_command(
    arguments: list[str], address: str = ""
) -> subprocess.CompletedProcess[str]:
    """Runs ``rattanmill`` to its end.

    Args:
        arguments: Its arguments.
        address: Value of ``RATTANMILL_ADDRESS``.
    """
    return subprocess.run(
        [sys.executable, "-m", "rattanmill_cli.main", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**os.environ, "RATTANMILL_ADDRESS": address},
    )
