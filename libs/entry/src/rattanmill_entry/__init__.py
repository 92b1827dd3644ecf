"""The entry daemon: accepts calls and forwards them to endpoints."""

from rattanmill_entry.daemon import run_daemon

__all__ = ["run_daemon"]
