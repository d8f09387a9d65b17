"""Claims on idempotency keys, agreed through the append-only log."""

from godwitdale_claims import claimant
from godwitdale_claims import ledger
from godwitdale_claims import records

__all__ = ["claimant", "ledger", "records"]
