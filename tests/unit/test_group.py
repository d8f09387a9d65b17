"""Tests of the fold of a group's stream."""

import pytest

from godwitdale_experts import group
from godwitdale_experts import two_phase_switch

TERM_S = 6.0


def fold(*timed_records):
    state = group.GroupState()
    for offset, (at_s, record) in enumerate(timed_records):
        state.feed(offset, at_s, group.encode(record))
    return state


def lease(holder, renews=None):
    return group.Lease(holder, TERM_S, renews)


def proposal(fencing=0, new_map=1, step=10):
    return group.Proposal(fencing, new_map, step, [[0], [1]])


@pytest.mark.parametrize(
    ("at_s", "holder"), [(3.0, "a"), (5.9, "a"), (6.0, "b"), (9.0, "b")]
)
def test_lease_is_free_only_after_its_term(at_s, holder):
    assert fold((0.0, lease("a")), (at_s, lease("b"))).lease.holder == holder


def test_renewal_keeps_fencing_token_and_has_no_effect_if_late():
    state = fold((0.0, lease("a")), (4.0, lease("a", renews=0)))
    assert (state.lease.fencing, state.lease.until_s) == (0, 10.0)
    late = fold((0.0, lease("a")), (7.0, lease("a", renews=0)))
    assert late.lease.until_s == 6.0


def test_only_holder_proposes_and_only_one_proposal_is_undecided():
    state = fold(
        (0.0, lease("a")),
        (7.0, lease("b")),
        (7.1, proposal(fencing=0)),
        (7.2, proposal(fencing=1, new_map=2)),
        (7.3, proposal(fencing=1, new_map=3)),
    )
    assert state.undecided.proposal == two_phase_switch.Proposal(3, 2, 10)


def test_first_decision_counts():
    decided = fold(
        (0.0, lease("a")),
        (0.1, proposal()),
        (0.2, group.Decision(1, "abort")),
        (0.3, group.Decision(1, "commit")),
    )
    assert decided.latest.decision is two_phase_switch.Decision.ABORT
    assert decided.decided_map == (0, [])


def test_proposal_keeps_the_map_that_it_replaces():
    state = fold(
        (0.0, lease("a")),
        (0.1, proposal(new_map=1)),
        (0.2, group.Decision(1, "commit")),
        (0.3, proposal(new_map=2, step=50)),
        (0.4, group.Decision(3, "commit")),
    )
    assert state.latest.base_map == 1
    assert state.decided_map == (2, [[0], [1]])


def test_undecodable_record_is_skipped():
    state = group.GroupState()
    state.feed(0, 0.0, b"garbage")
    state.feed(1, 0.0, group.encode(lease("a")))
    assert state.lease.holder == "a"
