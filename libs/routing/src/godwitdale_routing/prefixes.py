"""Where a prompt's prefix is likely cached.

Engines publish cache events late and with gaps, so the index is a guess: it
learns from what this entry sent and from events, and forgets the oldest.
"""

import collections
from collections.abc import Sequence

import xxhash

BLOCK_BYTES = 512
BYTES_PER_TOKEN = 4
_MOST_BLOCKS = 32


def hash_blocks(prompt: bytes) -> list[int]:
    """Returns a chain of hashes, one for each whole block of the prompt.

    Equal hashes mean that everything up to that block is equal.

    Args:
        prompt: The prompt as the engine sees it.
    """
    chain = []
    running = 0
    count = min(len(prompt) // BLOCK_BYTES, _MOST_BLOCKS)
    for number in range(count):
        block = prompt[number * BLOCK_BYTES : (number + 1) * BLOCK_BYTES]
        running = xxhash.xxh3_64_intdigest(block, seed=running)
        chain.append(running)
    return chain


class PrefixIndex:
    """Remembers which endpoints have seen which prefix blocks."""

    __slots__ = ("_most", "_endpoints")

    def __init__(self, most: int) -> None:
        """Starts empty.

        Args:
            most: Blocks to remember.
        """
        self._most = most
        self._endpoints: collections.OrderedDict[int, set[str]] = (
            collections.OrderedDict()
        )

    def add_blocks(self, endpoint: str, blocks: Sequence[int]) -> None:
        """Notes that an endpoint has the blocks, by event or by our request."""
        for block in blocks:
            holders = self._endpoints.setdefault(block, set())
            holders.add(endpoint)
            self._endpoints.move_to_end(block)
        while len(self._endpoints) > self._most:
            self._endpoints.popitem(last=False)

    def remove_blocks(self, endpoint: str, blocks: Sequence[int]) -> None:
        """Notes that an endpoint has dropped the blocks."""
        for block in blocks:
            holders = self._endpoints.get(block)
            if holders is not None:
                holders.discard(endpoint)

    def remove_endpoint(self, endpoint: str) -> None:
        """Notes that an endpoint started anew, with an empty cache."""
        for holders in self._endpoints.values():
            holders.discard(endpoint)

    def cached_tokens(self, blocks: Sequence[int]) -> dict[str, int]:
        """Returns the estimated cached tokens by endpoint.

        Args:
            blocks: The prompt's chain of block hashes.
        """
        cached: dict[str, int] = {}
        for number, block in enumerate(blocks, start=1):
            for endpoint in self._endpoints.get(block, ()):
                cached[endpoint] = number * BLOCK_BYTES // BYTES_PER_TOKEN
        return cached
