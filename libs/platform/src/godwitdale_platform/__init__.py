"""Clients of the log, the instance list and endpoints."""

from godwitdale_platform import endpoint_client
from godwitdale_platform import instances
from godwitdale_platform import log

__all__ = ["endpoint_client", "instances", "log"]
