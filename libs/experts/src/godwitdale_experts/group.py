"""The records of one group's stream, and their fold.

A group's stream holds leases, proposals of a new expert map and the decisions
on them. Every rank's agent folds the same stream.
"""

import msgspec
from msgspec import structs

from godwitdale_experts import two_phase_switch

_STREAM_PREFIX = "group-"
FIRST_MAP = 0


class Lease(msgspec.Struct, frozen=True, tag="lease"):
    """Asks for the right to lead the group, or for more of it.

    Attributes:
        holder: Incarnation of the agent.
        term_s: How long the lease lasts.
        renews: Fencing number of the lease that it prolongs, or None.
    """

    holder: str
    term_s: float
    renews: int | None = None


class Proposal(msgspec.Struct, frozen=True, tag="proposal"):
    """Proposes a new expert map.

    Attributes:
        fencing: Fencing number of the proposer's lease.
        new_map: Number of the map.
        step: First step that runs on it, if it is committed.
        experts: For each rank, the experts that it holds.
    """

    fencing: int
    new_map: int
    step: int
    experts: list[list[int]]


class Decision(msgspec.Struct, frozen=True, tag="decision"):
    """Decides a proposal; the first one counts.

    Attributes:
        change: Offset of the proposal.
        decision: Value of a ``two_phase_switch.Decision``.
    """

    change: int
    decision: str


Record = Lease | Proposal | Decision

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Record)


def encode(record: Record) -> bytes:
    """Returns the bytes that go into the log."""
    return _encoder.encode(record)


def stream_name(group: str) -> str:
    """Returns the name of a group's stream."""
    return _STREAM_PREFIX + group


class HeldLease(msgspec.Struct, frozen=True):
    """A lease in force.

    Attributes:
        fencing: Offset of the record that began it.
        holder: Incarnation of the holder.
        until_s: End of its term by the log's timestamps.
        term_s: How long a term is.
    """

    fencing: int
    holder: str
    until_s: float
    term_s: float


class LatestProposal(msgspec.Struct, frozen=True):
    """The latest proposal and what it leads away from.

    Attributes:
        proposal: What is proposed.
        fencing: Fencing number under which it was proposed.
        experts: For each rank, the experts of the new map.
        base_map: Number of the map before it.
        base_experts: For each rank the experts of that; empty for the first.
        decision: What became of it, or None while it is open.
    """

    proposal: two_phase_switch.Proposal
    fencing: int
    experts: list[list[int]]
    base_map: int
    base_experts: list[list[int]]
    decision: two_phase_switch.Decision | None = None


class GroupState:
    """What the stream says, as of an offset.

    A new proposal is made only after the group has passed the switch step of
    the one before, so that the latest one is all that a rank has to know.

    Attributes:
        next_offset: First offset that has not been folded.
        lease: The latest lease, or None.
        latest: The latest proposal, or None.
    """

    __slots__ = ("next_offset", "lease", "latest")

    def __init__(self) -> None:
        self.next_offset = 0
        self.lease: HeldLease | None = None
        self.latest: LatestProposal | None = None

    @property
    def undecided(self) -> LatestProposal | None:
        """The proposal that has no decision yet, or None."""
        if self.latest is not None and self.latest.decision is None:
            return self.latest
        return None

    @property
    def decided_map(self) -> tuple[int, list[list[int]]]:
        """Number and experts of the map that decisions have led to."""
        latest = self.latest
        if latest is None:
            return FIRST_MAP, []
        if latest.decision is two_phase_switch.Decision.COMMIT:
            return latest.proposal.new_map, latest.experts
        return latest.base_map, latest.base_experts

    def feed(self, offset: int, appended_at_s: float, data: bytes) -> None:
        """Folds one record; what is out of turn has no effect.

        Args:
            offset: Its offset.
            appended_at_s: The log's own timestamp.
            data: The record.
        """
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        try:
            record = _decoder.decode(data)
        except msgspec.MsgspecError:
            return
        if isinstance(record, Lease):
            self._take_lease(offset, appended_at_s, record)
        elif isinstance(record, Proposal):
            self._take_proposal(offset, record)
        else:
            self._take_decision(record)

    def _take_lease(
        self, offset: int, appended_at_s: float, record: Lease
    ) -> None:
        held = self.lease
        until_s = appended_at_s + record.term_s
        is_free = held is None or held.until_s <= appended_at_s
        if record.renews is None and is_free:
            self.lease = HeldLease(
                offset, record.holder, until_s, record.term_s
            )
        elif held is not None and record.renews == held.fencing and not is_free:
            self.lease = HeldLease(
                held.fencing, held.holder, until_s, record.term_s
            )

    def _take_proposal(self, offset: int, record: Proposal) -> None:
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

    def _take_decision(self, record: Decision) -> None:
        latest = self.undecided
        if latest is not None and latest.proposal.change == record.change:
            self.latest = structs.replace(
                latest, decision=two_phase_switch.Decision(record.decision)
            )
