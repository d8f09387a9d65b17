"""Tests of claims against a reference: one dictionary behind a lock."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from godwitdale_claims import claimant as claimant_lib
from godwitdale_claims import ledger as ledger_lib
from godwitdale_claims import records


class SharedLog:
    """A log that can lose appends and the answers to appends."""

    def __init__(self, seed, lost_share):
        self.batches = []
        self.rng = random.Random(seed)
        self.lost_share = lost_share

    def append(self, events):
        """Returns whether the answer arrived.

        A batch can be in the log although the answer was lost.
        """
        draw = self.rng.random()
        if draw < self.lost_share / 2:
            return False
        self.batches.append(records.decode(records.encode(events)))
        return draw >= self.lost_share

    def fold_into(self, ledger):
        for offset in range(ledger.next_offset, len(self.batches)):
            ledger.fold_record(offset, float(offset), self.batches[offset])


def run_round(claimant, log):
    """Appends a batch, reads the log and returns the decisions."""
    batch = claimant.take_batch(100)
    if batch:
        if log.append(batch):
            claimant.on_batch_appended()
        else:
            claimant.on_batch_uncertain()
    log.fold_into(claimant.ledger)
    return claimant.take_decisions()


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["claim", "claim", "pump", "withdraw", "finish"]),
        st.integers(0, 1),
        st.integers(0, 2),
    ),
    max_size=40,
)


@hypothesis.given(ACTIONS, st.integers(0, 1000), st.sampled_from([0.0, 0.4]))
def test_a_key_has_one_winner(actions, seed, lost_share):
    log = SharedLog(seed, lost_share)
    claimants = [claimant_lib.Claimant(1e9) for _ in range(2)]
    held = {}
    finished = set()
    withdrawn = set()
    for number, (action, index, key_number) in enumerate(actions):
        claimant = claimants[index]
        key = f"{key_number:032x}"
        attempt = f"attempt-{number}/{index}"
        if action == "claim":
            claimant.claim(records.Claim(key, attempt, "body"))
            held.setdefault("open", {})[attempt] = key
        elif action == "withdraw":
            for each in [
                a for a in held.get("open", {}) if a[-1] == str(index)
            ]:
                claimant.withdraw(each)
                withdrawn.add(each)
                del held["open"][each]
        elif action == "finish" and held.get(key, "")[-1:] == str(index):
            finished.add(key)
            claimant.finish(records.Outcome(key, held[key], 201))
        else:
            for decision in run_round(claimant, log):
                won_key = held["open"].pop(decision.attempt)
                if isinstance(decision, claimant_lib.Won):
                    # Reference: the first claim in the dictionary wins.
                    assert won_key not in held
                    assert decision.attempt not in withdrawn
                    held[won_key] = decision.attempt


def claim_and_decide(claimant, log, attempt, key="0" * 32, body="body"):
    claimant.claim(records.Claim(key, attempt, body))
    (decision,) = run_round(claimant, log)
    return decision


def test_a_retry_receives_the_outcome():
    log = SharedLog(0, 0.0)
    first, second = (claimant_lib.Claimant(1e9) for _ in range(2))
    assert claim_and_decide(first, log, "a") == claimant_lib.Won("a")
    assert claim_and_decide(second, log, "b") == claimant_lib.InUse("b")
    first.finish(records.Outcome("0" * 32, "a", 201, "text/plain", b"done"))
    run_round(first, log)
    decision = claim_and_decide(second, log, "c")
    assert decision.outcome.body == b"done"


def test_a_key_with_another_body_is_a_mismatch():
    log = SharedLog(0, 0.0)
    claimant = claimant_lib.Claimant(1e9)
    claim_and_decide(claimant, log, "a")
    decision = claim_and_decide(claimant, log, "b", body="other")
    assert decision == claimant_lib.Mismatch("b")


def test_a_released_key_can_be_claimed_again():
    log = SharedLog(0, 0.0)
    claimant = claimant_lib.Claimant(1e9)
    claim_and_decide(claimant, log, "a")
    claimant.release("0" * 32, "a")
    run_round(claimant, log)
    assert claim_and_decide(claimant, log, "b") == claimant_lib.Won("b")


def test_a_late_duplicate_of_a_withdrawn_claim_does_not_take_the_key():
    state = ledger_lib.KeyState()
    for event in (
        records.Void("k", "a"),
        records.Release("k", "a"),
        records.Claim("k", "a", "body"),
    ):
        state.apply(0.0, event)
    assert state.holder is None


@pytest.mark.parametrize(
    ("claimed_again_s", "is_kept"), [(None, False), (8, True)]
)
def test_the_window_of_a_key_starts_at_its_last_claim(claimed_again_s, is_kept):
    ledger = ledger_lib.Ledger(window_s=10)
    key = "0" * 32
    ledger.fold_record(0, 0.0, [records.Claim(key, "a", "body")])
    if claimed_again_s is not None:
        events = [records.Release(key, "a"), records.Claim(key, "b", "body")]
        ledger.fold_record(1, claimed_again_s, events)
    ledger.fold_record(2, 11.0, [records.Claim("1" * 32, "c", "body")])
    assert (ledger.key_state(key) is not None) == is_kept
