"""Claims on idempotency keys, decided by the order of an append-only log."""

from godwitdale_claims import claimant
from godwitdale_claims import ledger
from godwitdale_claims import records

__all__ = ["claimant", "ledger", "records"]
