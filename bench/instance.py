"""Starts the daemon with one of the schedulers that are compared.

Usage: python -m bench.instance POLICY --settings FILE
"""

import sys

from bench.policies import scheduler_of
from rattanmill_entry import daemon
from rattanmill_entry.main import main

if __name__ == "__main__":
    daemon.Scheduler = scheduler_of(sys.argv.pop(1))
    main()
