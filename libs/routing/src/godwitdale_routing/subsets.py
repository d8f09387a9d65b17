"""Deterministic choice of endpoints by rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def score(key: str, candidate: str) -> int:
    """Returns the rendezvous score of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{candidate}".encode())


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates, the one with the highest score first."""
    return sorted(
        candidates, key=lambda each: (score(key, each), each), reverse=True
    )


def select_subset(
    entry: str, candidates: Iterable[str], size: int
) -> list[str]:
    """Returns the endpoints that an entry keeps connections to.

    A candidate that joins or leaves changes at most one member of the subset.

    Args:
        entry: Name of the entry.
        candidates: Names of endpoints.
        size: Number of endpoints in the subset.
    """
    return rank_candidates(entry, candidates)[:size]


def choose_for_key(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the candidate with the highest score for a key, or None."""
    return max(
        candidates, key=lambda each: (score(key, each), each), default=None
    )
