"""Estimates which endpoints have the prefix of a prompt in their cache.

Engines publish cache events late, and events can be lost, so the index is an
estimate. It records the requests that this entry sent and the cache events,
and drops the least recently added blocks.
"""

import collections
from collections.abc import Sequence

import xxhash

BLOCK_BYTES = 512
BYTES_PER_TOKEN = 4
# Blocks of one prompt that are hashed; the rest of the prompt is ignored.
_MAX_HASHED_BLOCKS = 32


def hash_blocks(prompt: bytes) -> list[int]:
    """Returns a chain of hashes, one for each of the first whole blocks.

    At most ``_MAX_HASHED_BLOCKS`` blocks of the prompt are hashed. Equal hashes
    mean that the prompts are equal up to the end of that block.

    Args:
        prompt: The prompt as the engine sees it.
    """
    chain = []
    prefix_hash = 0
    count = min(len(prompt) // BLOCK_BYTES, _MAX_HASHED_BLOCKS)
    for number in range(count):
        block = prompt[number * BLOCK_BYTES : (number + 1) * BLOCK_BYTES]
        prefix_hash = xxhash.xxh3_64_intdigest(block, seed=prefix_hash)
        chain.append(prefix_hash)
    return chain


class PrefixIndex:
    """Maps prefix blocks to the endpoints that likely cache them."""

    __slots__ = ("_max_blocks", "_endpoints")

    def __init__(self, max_blocks: int) -> None:
        """Creates an empty index.

        Args:
            max_blocks: Largest number of blocks in the index, over all prompts.
        """
        self._max_blocks = max_blocks
        self._endpoints: collections.OrderedDict[int, set[str]] = (
            collections.OrderedDict()
        )

    def add_blocks(self, endpoint: str, blocks: Sequence[int]) -> None:
        """Records that an endpoint has the blocks in its cache."""
        for block in blocks:
            holders = self._endpoints.setdefault(block, set())
            holders.add(endpoint)
            self._endpoints.move_to_end(block)
        while len(self._endpoints) > self._max_blocks:
            self._endpoints.popitem(last=False)

    def remove_blocks(self, endpoint: str, blocks: Sequence[int]) -> None:
        """Records that an endpoint has evicted the blocks."""
        for block in blocks:
            holders = self._endpoints.get(block)
            if holders is not None:
                holders.discard(endpoint)

    def remove_endpoint(self, endpoint: str) -> None:
        """Removes an endpoint that restarted with an empty cache."""
        for holders in self._endpoints.values():
            holders.discard(endpoint)

    def cached_tokens(self, blocks: Sequence[int]) -> dict[str, int]:
        """Returns the estimated cached tokens by endpoint.

        The tokens are counted up to the last block that the endpoint likely
        caches, even if the index does not hold an earlier block for it.

        Args:
            blocks: Chain of block hashes of the prompt.
        """
        cached: dict[str, int] = {}
        for count, block in enumerate(blocks, start=1):
            for endpoint in self._endpoints.get(block, ()):
                cached[endpoint] = count * BLOCK_BYTES // BYTES_PER_TOKEN
        return cached
