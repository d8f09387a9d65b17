"""Tests of endpoint choice, health, limits, retries and subsets."""

import random

import pytest

from godwitdale_routing import attempts
from godwitdale_routing import choice
from godwitdale_routing import health
from godwitdale_routing import limits
from godwitdale_routing import prefixes
from godwitdale_routing import retries
from godwitdale_routing import subsets
from godwitdale_verdicts import outcomes

LOST = outcomes.may_have_run(outcomes.Reason.ENDPOINT_LOST, "lost")
UNSENT = outcomes.not_run(outcomes.Reason.ENDPOINT_LOST, "unsent")


def failure_context(**changes):
    values = {
        "is_repeatable": False,
        "has_idempotency_key": attempts.HasIdempotencyKey.NO,
        "has_answer_begun": False,
        "earlier_may_have_run": False,
        "attempts": 1,
        "max_attempts": 3,
        "time_left_s": 5.0,
    }
    return attempts.FailureContext(**{**values, **changes})


@pytest.mark.parametrize(
    ("refusal", "changes", "is_retried"),
    [
        (UNSENT, {}, True),
        (LOST, {}, False),
        (LOST, {"is_repeatable": True}, True),
        (LOST, {"has_idempotency_key": attempts.HasIdempotencyKey.YES}, True),
        (LOST, {"is_repeatable": True, "has_answer_begun": True}, False),
        (UNSENT, {"attempts": 3}, False),
        (UNSENT, {"time_left_s": 0.0}, False),
    ],
)
def test_requests_are_retried_only_when_that_is_safe(
    refusal, changes, is_retried
):
    budget = retries.RetryBudget(0.1, 10)
    step = attempts.decide_after_failure(
        refusal, failure_context(**changes), budget
    )
    assert isinstance(step, attempts.Retry) == is_retried


def test_the_verdict_covers_earlier_attempts_that_may_have_run():
    budget = retries.RetryBudget(0.0, 0)
    step = attempts.decide_after_failure(
        UNSENT, failure_context(earlier_may_have_run=True), budget
    )
    assert step.refusal.verdict.value == "may-have-run"


def test_retries_are_a_share_of_requests_when_everything_fails():
    budget = retries.RetryBudget(0.1, 5)
    taken = 0
    for _ in range(1000):
        budget.record_request()
        while budget.try_take():
            taken += 1
    assert taken <= 5 + 0.1 * 1000


def test_backoff_grows_up_to_its_bound():
    rng = random.Random(1)
    delays = [retries.backoff_s(n, 0.1, 2.0, rng) for n in range(1, 30)]
    assert max(delays) <= 2.0
    assert max(delays[:2]) <= 0.2


def endpoint_stats(name, zone="z", **report):
    stats = choice.EndpointStats(name, zone, now_s=-100.0)
    stats.report = choice.LoadReport(**report)
    return stats


def test_the_less_loaded_of_two_is_chosen():
    chooser = choice.TwoChoices(random.Random(1))
    busy = endpoint_stats("busy", running=8, queued=20, slots=8)
    idle = endpoint_stats("idle", running=1, slots=8)
    chosen = {chooser.choose([busy, idle], choice.RequestTraits(), 0).name}
    assert chosen == {"idle"}


def test_a_cached_prefix_wins_only_while_its_endpoint_is_faster():
    chooser = choice.TwoChoices(random.Random(1))
    others = [endpoint_stats(f"cold-{n}", slots=8) for n in range(5)]
    warm = endpoint_stats("warm", slots=8)
    traits = choice.RequestTraits(
        prompt_tokens=4000, cached_tokens={"warm": 3900}
    )
    assert chooser.choose([*others, warm], traits, 0).name == "warm"
    warm.report = choice.LoadReport(running=8, queued=40, slots=8)
    assert chooser.choose([*others, warm], traits, 0).name != "warm"


def test_requests_sent_since_the_report_count():
    first, second = endpoint_stats("a", slots=4), endpoint_stats("b", slots=4)
    chooser = choice.TwoChoices(random.Random(1))
    for _ in range(8):
        chooser.choose(
            [first, second], choice.RequestTraits(), 0
        ).in_flight += 1
    assert abs(first.in_flight - second.in_flight) <= 4


def test_an_endpoint_that_keeps_failing_is_ejected_for_longer_each_time():
    endpoint = health.Health(first_used_s=0.0)
    durations_s = []
    now_s = 0.0
    for _ in range(3):
        for _ in range(3):
            endpoint.record_failure(now_s)
        durations_s.append(endpoint.ejected_until_s - now_s)
        now_s = endpoint.ejected_until_s
    assert durations_s == sorted(durations_s)
    assert durations_s[0] < durations_s[-1]


def test_only_a_share_of_the_endpoints_is_ejected():
    healths = {f"e{n}": health.Health(first_used_s=0.0) for n in range(6)}
    for each in healths.values():
        for _ in range(3):
            each.record_failure(0.0)
    usable = health.usable_endpoints(healths, now_s=1.0, ejected_share=0.5)
    assert len(usable) == 3


def test_a_new_endpoint_starts_slowly():
    endpoint = health.Health(first_used_s=0.0)
    assert (
        endpoint.slow_start_share(0.0)
        < endpoint.slow_start_share(5.0)
        < endpoint.slow_start_share(10.0)
        == 1.0
    )


@pytest.mark.parametrize("entries", [2, 8, 64])
def test_an_account_limit_holds_over_many_entries(entries):
    limit_per_s = 200.0
    account_limits = [
        limits.AccountLimit(limit_per_s, 1.0, entries, 5.0, 0.0)
        for _ in range(entries)
    ]
    total = limits.DecayingCount(5.0, 0.0)
    rng = random.Random(entries)
    admitted = 0
    for tick in range(4000):
        now_s = tick * 0.01
        for _ in range(4):
            # Half of all traffic comes through the first entry.
            index = 0 if rng.random() < 0.5 else rng.randrange(entries)
            if account_limits[index].take(now_s) == 0:
                weight = account_limits[index].offered_per_admitted(now_s)
                total.add(weight, now_s)
                admitted += tick >= 2000
        if tick % 50 == 0:
            for each in account_limits:
                each.update_share(total.rate_per_s(now_s), entries, now_s)
    assert admitted / 20 == pytest.approx(limit_per_s, rel=0.25)


def test_a_subset_changes_little_when_an_endpoint_leaves():
    names = [f"e{n}" for n in range(100)]
    before = subsets.select_subset("entry-1", names, 10)
    after = subsets.select_subset(
        "entry-1", [n for n in names if n != before[0]], 10
    )
    assert len(set(before) & set(after)) == 9


def test_subsets_spread_entries_over_all_endpoints():
    names = [f"e{n}" for n in range(50)]
    counts = dict.fromkeys(names, 0)
    for entry in range(100):
        for name in subsets.select_subset(f"entry-{entry}", names, 10):
            counts[name] += 1
    assert min(counts.values()) > 0
    assert max(counts.values()) < 45


def test_prefixes_are_found_up_to_the_first_difference():
    index = prefixes.PrefixIndex(1000)
    prompt = b"a" * prefixes.BLOCK_BYTES * 3
    other = prompt[: prefixes.BLOCK_BYTES] + b"b" * prefixes.BLOCK_BYTES * 2
    index.add_blocks("e1", prefixes.hash_blocks(prompt))
    tokens = prefixes.BLOCK_BYTES // prefixes.BYTES_PER_TOKEN
    blocks = prefixes.hash_blocks(other)
    assert index.cached_tokens(blocks) == {"e1": tokens}
    index.remove_endpoint("e1")
    assert index.cached_tokens(blocks) == {}
