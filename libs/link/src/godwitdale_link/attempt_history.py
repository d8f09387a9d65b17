"""Bounded history of the attempts that an agent has seen."""

from godwitdale_verdicts import identifiers


class AttemptHistory:
    """Records which attempts were submitted or revoked, in bounded memory.

    The oldest identifiers are evicted. Once an identifier of an entry is
    evicted, all attempts of that entry up to the highest evicted sequence
    number count as seen, and their verdict is "may have run".
    """

    __slots__ = ("_max_ids", "_revoked_by_id", "_highest_evicted")

    def __init__(self, max_ids: int) -> None:
        """Creates an empty history.

        Args:
            max_ids: Maximum number of identifiers that are kept individually.
        """
        self._max_ids = max_ids
        self._revoked_by_id: dict[identifiers.RequestId, bool] = {}
        self._highest_evicted: dict[str, int] = {}

    def record_submitted(self, request_id: identifiers.RequestId) -> None:
        """Records an attempt that was submitted."""
        self._revoked_by_id[request_id] = False
        self._evict_oldest()

    def record_revoked(self, request_id: identifiers.RequestId) -> None:
        """Records that an attempt must never start."""
        self._revoked_by_id[request_id] = True
        self._evict_oldest()

    def record_revoked_if_unseen(
        self, request_id: identifiers.RequestId
    ) -> None:
        """Records that an attempt must never start, unless it was seen."""
        if not self.may_have_seen(request_id):
            self.record_revoked(request_id)

    def may_have_seen(self, request_id: identifiers.RequestId) -> bool:
        """Returns whether an attempt is recorded or may have been evicted."""
        if request_id in self._revoked_by_id:
            return True
        highest_evicted = self._highest_evicted.get(request_id.incarnation, 0)
        return request_id.sequence <= highest_evicted

    def is_revoked(self, request_id: identifiers.RequestId) -> bool:
        """Returns whether an attempt was revoked before it started."""
        return self._revoked_by_id.get(request_id, False)

    def may_have_run(self, request_id: identifiers.RequestId) -> bool:
        """Returns whether an attempt may have been submitted, not revoked."""
        if self.is_revoked(request_id):
            return False
        return self.may_have_seen(request_id)

    def _evict_oldest(self) -> None:
        while len(self._revoked_by_id) > self._max_ids:
            oldest = next(iter(self._revoked_by_id))
            del self._revoked_by_id[oldest]
            highest = self._highest_evicted.get(oldest.incarnation, 0)
            self._highest_evicted[oldest.incarnation] = max(
                highest, oldest.sequence
            )
