"""Clients of the platform's services and of endpoints."""

from godwitdale_platform import backend
from godwitdale_platform import instances
from godwitdale_platform import log

__all__ = ["backend", "instances", "log"]
