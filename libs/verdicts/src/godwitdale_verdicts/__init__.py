"""Verdicts, outcomes, identifiers and errors shared by every library."""

from godwitdale_verdicts import exceptions
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict

__all__ = ["exceptions", "identifiers", "outcomes", "verdict"]
