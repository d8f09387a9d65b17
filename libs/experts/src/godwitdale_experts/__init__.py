"""Experts: placement, the decision to move them, and the switch of maps."""

from godwitdale_experts import fencing
from godwitdale_experts import placement
from godwitdale_experts import popularity
from godwitdale_experts import rebalance
from godwitdale_experts import switch

__all__ = ["fencing", "placement", "popularity", "rebalance", "switch"]
