"""Deterministic choice of peers by rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def score(owner: str, candidate: str) -> int:
    """Returns the rendezvous score of a candidate for an owner."""
    return xxhash.xxh3_64_intdigest(f"{owner}|{candidate}".encode())


def rank_candidates(owner: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates, highest score for the owner first."""
    return sorted(
        candidates, key=lambda each: (score(owner, each), each), reverse=True
    )


def select_subset(
    owner: str, candidates: Iterable[str], size: int
) -> list[str]:
    """Returns the candidates that an owner keeps connections to.

    A candidate that joins or leaves changes at most one place.

    Args:
        owner: Name of the entry.
        candidates: Names of endpoints.
        size: How many to keep.
    """
    return rank_candidates(owner, candidates)[:size]


def choose_for_key(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the candidate that a key is homed at, or None."""
    return max(
        candidates, key=lambda each: (score(key, each), each), default=None
    )
