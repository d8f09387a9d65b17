"""Records of a group's stream in the log, and their fold.

The stream of a group holds leases, proposals of new expert maps and the
decisions on these proposals. The fold of a stream is the state that results
from applying its records one after another. The agents of all ranks fold the
same stream.
"""

import msgspec
from msgspec import structs

from godwitdale_experts import two_phase_switch
from godwitdale_verdicts import decoding

_STREAM_PREFIX = "group-"
FIRST_MAP = 0


class Lease(msgspec.Struct, frozen=True, tag="lease"):
    """Requests or renews the lease with which an agent leads the group.

    Attributes:
        holder: Incarnation of the agent.
        term_s: Duration of the lease.
        renews: Fencing token of the lease that this record renews, or None.
    """

    holder: str
    term_s: float
    renews: int | None = None


class Proposal(msgspec.Struct, frozen=True, tag="proposal"):
    """Proposes a new expert map.

    Attributes:
        fencing: Fencing token of the proposer's lease.
        new_map: Number of the new map.
        step: First step that runs on the new map if it is committed.
        experts: For each rank, the experts that it holds.
    """

    fencing: int
    new_map: int
    step: int
    experts: list[list[int]]


class Decision(msgspec.Struct, frozen=True, tag="decision"):
    """Decides on a proposal; the first decision on a proposal counts.

    Attributes:
        change: Offset of the proposal.
        decision: Value of a ``two_phase_switch.Decision``.
    """

    change: int
    decision: str


Record = Lease | Proposal | Decision

_encoder = msgspec.json.Encoder()
_decoder = decoding.json_decoder(Record, max_depth=decoding.MAX_RECORD_DEPTH)


def encode(record: Record) -> bytes:
    """Returns the encoding of a record in the log."""
    return _encoder.encode(record)


def stream_name(group: str) -> str:
    """Returns the name of a group's stream."""
    return _STREAM_PREFIX + group


class LatestLease(msgspec.Struct, frozen=True):
    """The latest lease, which may have expired.

    Attributes:
        fencing: Fencing token: the offset of the record that began the lease.
        holder: Incarnation of the holder.
        until_s: End of the term in the time of the log's timestamps.
        term_s: Duration of a term.
    """

    fencing: int
    holder: str
    until_s: float
    term_s: float


class LatestProposal(msgspec.Struct, frozen=True):
    """The latest proposal and the map that it replaces.

    Attributes:
        proposal: The proposal.
        fencing: Fencing token of the lease under which it was proposed.
        experts: For each rank, the experts of the new map.
        base_map: Number of the map that the proposal replaces.
        base_experts: For each rank, the experts of the replaced map; empty
            for the initial map.
        decision: Decision on the proposal, or None while it is undecided.
    """

    proposal: two_phase_switch.Proposal
    fencing: int
    experts: list[list[int]]
    base_map: int
    base_experts: list[list[int]]
    decision: two_phase_switch.Decision | None = None


class GroupState:
    """State of the group after the records before an offset.

    A new proposal is made only after the group has passed the switch step of
    the previous one. A rank therefore has to know only the latest proposal.

    Attributes:
        next_offset: First offset that is not folded yet.
        lease: The latest lease, or None.
        latest: The latest proposal, or None.
    """

    __slots__ = ("next_offset", "lease", "latest")

    def __init__(self) -> None:
        self.next_offset = 0
        self.lease: LatestLease | None = None
        self.latest: LatestProposal | None = None

    @property
    def undecided(self) -> LatestProposal | None:
        """The latest proposal if it has no decision yet, otherwise None."""
        if self.latest is not None and self.latest.decision is None:
            return self.latest
        return None

    @property
    def decided_map(self) -> tuple[int, list[list[int]]]:
        """Number and experts of the map that follows from the decisions."""
        latest = self.latest
        if latest is None:
            return FIRST_MAP, []
        if latest.decision is two_phase_switch.Decision.COMMIT:
            return latest.proposal.new_map, latest.experts
        return latest.base_map, latest.base_experts

    def feed(self, offset: int, appended_at_s: float, data: bytes) -> None:
        """Folds one record.

        Records that were folded before, that cannot be decoded or that are
        not valid in the current state have no effect.

        Args:
            offset: Offset of the record.
            appended_at_s: Timestamp that the log gave the record.
            data: Encoded record.
        """
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        try:
            record = _decoder.decode(data)
        except decoding.InvalidDataError:
            return
        if isinstance(record, Lease):
            self._apply_lease(offset, appended_at_s, record)
        elif isinstance(record, Proposal):
            self._apply_proposal(offset, record)
        else:
            self._apply_decision(record)

    def _apply_lease(
        self, offset: int, appended_at_s: float, record: Lease
    ) -> None:
        held = self.lease
        until_s = appended_at_s + record.term_s
        is_free = held is None or held.until_s <= appended_at_s
        if record.renews is None and is_free:
            self.lease = LatestLease(
                offset, record.holder, until_s, record.term_s
            )
        elif held is not None and record.renews == held.fencing and not is_free:
            self.lease = LatestLease(
                held.fencing, held.holder, until_s, record.term_s
            )

    def _apply_proposal(self, offset: int, record: Proposal) -> None:
        held = self.lease
        is_holder = held is not None and held.fencing == record.fencing
        if not is_holder or self.undecided is not None:
            return
        base_map, base_experts = self.decided_map
        self.latest = LatestProposal(
            two_phase_switch.Proposal(offset, record.new_map, record.step),
            record.fencing,
            record.experts,
            base_map,
            base_experts,
        )

    def _apply_decision(self, record: Decision) -> None:
        latest = self.undecided
        if latest is not None and latest.proposal.change == record.change:
            self.latest = structs.replace(
                latest, decision=two_phase_switch.Decision(record.decision)
            )
