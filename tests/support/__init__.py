"""Starts the stand-ins and instances that tests, demo and bench need."""

from support.client import Answer, Client
from support.process import Process
from support.shared import start
from support.stack import EngineSpec, Layout, ServiceSpec, Stack
from support.waiting import wait_until

__all__ = [
    "Answer",
    "Client",
    "EngineSpec",
    "Layout",
    "Process",
    "ServiceSpec",
    "Stack",
    "start",
    "wait_until",
]
