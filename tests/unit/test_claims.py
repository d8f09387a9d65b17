"""Claims: the real claimants against one dictionary behind one lock."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from godwitdale_claims import claimant as claimant_lib
from godwitdale_claims import ledger as ledger_lib
from godwitdale_claims import records


class SharedLog:
    """A log whose append answers can be lost."""

    def __init__(self, seed, lost_share):
        self.batches = []
        self.rng = random.Random(seed)
        self.lost_share = lost_share

    def append(self, entries):
        """Returns whether the answer arrived; the batch may be in anyway."""
        fate = self.rng.random()
        if fate < self.lost_share / 2:
            return False
        self.batches.append(records.decode(records.encode(entries)))
        return fate >= self.lost_share

    def feed(self, ledger):
        for offset in range(ledger.next_offset, len(self.batches)):
            ledger.fold_record(offset, float(offset), self.batches[offset])


def pump(claimant, log):
    """Runs one round of append, read and decide."""
    batch = claimant.take_batch(100)
    if batch:
        if log.append(batch):
            claimant.on_batch_appended()
        else:
            claimant.on_batch_uncertain()
    log.feed(claimant.ledger)
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
def test_a_key_has_one_winner_as_with_a_lock(actions, seed, lost_share):
    log = SharedLog(seed, lost_share)
    claimants = [claimant_lib.Claimant(1e9) for _ in range(2)]
    held = {}
    finished = set()
    given_up = set()
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
                given_up.add(each)
                del held["open"][each]
        elif action == "finish" and held.get(key, "")[-1:] == str(index):
            finished.add(key)
            claimant.finish(records.Outcome(key, held[key], 201))
        else:
            for decision in pump(claimant, log):
                won_key = held["open"].pop(decision.attempt)
                if isinstance(decision, claimant_lib.Won):
                    # The naive version: one dictionary, first come.
                    assert won_key not in held
                    assert decision.attempt not in given_up
                    held[won_key] = decision.attempt


def claimed(claimant, log, attempt, key="0" * 32, body="body"):
    claimant.claim(records.Claim(key, attempt, body))
    (decision,) = pump(claimant, log)
    return decision


def test_a_retry_learns_the_outcome():
    log = SharedLog(0, 0.0)
    first, second = (claimant_lib.Claimant(1e9) for _ in range(2))
    assert claimed(first, log, "a") == claimant_lib.Won("a")
    assert claimed(second, log, "b") == claimant_lib.InUse("b")
    first.finish(records.Outcome("0" * 32, "a", 201, "text/plain", b"done"))
    pump(first, log)
    decision = claimed(second, log, "c")
    assert decision.outcome.body == b"done"


def test_a_key_with_another_body_is_a_mismatch():
    log = SharedLog(0, 0.0)
    claimant = claimant_lib.Claimant(1e9)
    claimed(claimant, log, "a")
    decision = claimed(claimant, log, "b", body="other")
    assert decision == claimant_lib.Mismatch("b")


def test_a_released_key_can_be_claimed_again():
    log = SharedLog(0, 0.0)
    claimant = claimant_lib.Claimant(1e9)
    claimed(claimant, log, "a")
    claimant.release("0" * 32, "a")
    pump(claimant, log)
    assert claimed(claimant, log, "b") == claimant_lib.Won("b")


def test_a_late_copy_of_a_withdrawn_claim_does_not_take_the_key():
    state = ledger_lib.KeyState()
    for entry in (
        records.Void("k", "a"),
        records.Release("k", "a"),
        records.Claim("k", "a", "body"),
    ):
        state.apply(0.0, entry)
    assert state.holder is None


@pytest.mark.parametrize(
    ("claimed_again_s", "kept"), [(None, False), (8, True)]
)
def test_a_key_is_remembered_from_its_last_claim_on(claimed_again_s, kept):
    ledger = ledger_lib.Ledger(window_s=10)
    key = "0" * 32
    ledger.fold_record(0, 0.0, [records.Claim(key, "a", "body")])
    if claimed_again_s is not None:
        entries = [records.Release(key, "a"), records.Claim(key, "b", "body")]
        ledger.fold_record(1, claimed_again_s, entries)
    ledger.fold_record(2, 11.0, [records.Claim("1" * 32, "c", "body")])
    assert (ledger.key_state(key) is not None) == kept
