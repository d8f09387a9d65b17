"""Experts: placement, the decision to move them, and the switch of maps."""

from godwitdale_experts import fencing
from godwitdale_experts import group
from godwitdale_experts import placement
from godwitdale_experts import popularity
from godwitdale_experts import rebalance
from godwitdale_experts import switch

__all__ = ["fencing", "group", "placement", "popularity", "rebalance", "switch"]
