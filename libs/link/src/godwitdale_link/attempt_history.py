"""What an agent remembers of the attempts that it has seen."""

from godwitdale_verdicts import identifiers


class AttemptHistory:
    """Which attempts were submitted or revoked, in bounded memory.

    Where identifiers are forgotten, all of that entry up to the highest
    forgotten one count as seen: the answer about them is "may have run".
    """

    __slots__ = ("_max_ids", "_revoked", "_forgotten")

    def __init__(self, max_ids: int) -> None:
        """Starts empty.

        Args:
            max_ids: Identifiers to remember one by one.
        """
        self._max_ids = max_ids
        self._revoked: dict[identifiers.RequestId, bool] = {}
        self._forgotten: dict[str, int] = {}

    def add(self, request_id: identifiers.RequestId) -> None:
        """Remembers an attempt that was submitted."""
        self._revoked[request_id] = False
        self._trim()

    def revoke(self, request_id: identifiers.RequestId) -> None:
        """Remembers that an attempt never starts."""
        self._revoked[request_id] = True
        self._trim()

    def revoke_unseen(self, request_id: identifiers.RequestId) -> None:
        """Remembers that an attempt never starts, if it has not come yet."""
        if not self.may_have_seen(request_id):
            self.revoke(request_id)

    def may_have_seen(self, request_id: identifiers.RequestId) -> bool:
        """Tells whether an attempt is known or forgotten."""
        if request_id in self._revoked:
            return True
        forgotten = self._forgotten.get(request_id.incarnation, 0)
        return request_id.sequence <= forgotten

    def is_revoked(self, request_id: identifiers.RequestId) -> bool:
        """Tells whether an attempt was revoked before it started."""
        return self._revoked.get(request_id, False)

    def may_have_run(self, request_id: identifiers.RequestId) -> bool:
        """Tells whether an attempt may have been submitted and not revoked."""
        if self.is_revoked(request_id):
            return False
        return self.may_have_seen(request_id)

    def _trim(self) -> None:
        while len(self._revoked) > self._max_ids:
            oldest = next(iter(self._revoked))
            del self._revoked[oldest]
            highest = self._forgotten.get(oldest.incarnation, 0)
            self._forgotten[oldest.incarnation] = max(highest, oldest.sequence)
