"""The entry daemon: callers on one side, endpoints on the other."""

from rattanmill_entry.daemon import run_daemon

__all__ = ["run_daemon"]
