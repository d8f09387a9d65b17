"""Stand-ins: HTTP servers that imitate the platform and endpoints in tests.

Every stand-in except the relay injects the faults that ``POST /faults`` sets.
"""

from godwitdale_standins import engine
from godwitdale_standins import instance_list
from godwitdale_standins import launch
from godwitdale_standins import log_service
from godwitdale_standins import plain_app
from godwitdale_standins import weight_store

__all__ = [
    "engine",
    "instance_list",
    "launch",
    "log_service",
    "plain_app",
    "weight_store",
]
