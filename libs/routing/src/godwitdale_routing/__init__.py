"""Pure decisions: choice of endpoint, queueing, limits and retries."""

from godwitdale_routing import admission
from godwitdale_routing import attempts
from godwitdale_routing import choice
from godwitdale_routing import health
from godwitdale_routing import limits
from godwitdale_routing import prefixes
from godwitdale_routing import queueing
from godwitdale_routing import retries
from godwitdale_routing import subsets

__all__ = [
    "admission",
    "attempts",
    "choice",
    "health",
    "limits",
    "prefixes",
    "queueing",
    "retries",
    "subsets",
]
