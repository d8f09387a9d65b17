"""Tests of the division of endpoints among entries, and what it is for."""

import heapq
import itertools
import random

import pytest

from godwitdale_routing import choice
from godwitdale_routing import home_endpoints

SLOTS = 3


@pytest.mark.parametrize("endpoint_count", [0, 1, 5, 35, 192])
@pytest.mark.parametrize("entry_count", [1, 2, 18, 35])
def test_each_endpoint_is_the_home_of_one_entry(endpoint_count, entry_count):
    ids = [f"i-{number}" for number in range(endpoint_count)]
    homes = [
        home_endpoints.home_endpoints(ids, index, entry_count)
        for index in range(entry_count)
    ]
    assert sorted(itertools.chain(*homes)) == sorted(ids)
    sizes = [len(each) for each in homes]
    assert max(sizes) - min(sizes) <= 1


class Fleet:
    """Entries that choose endpoints by what they last broadcast."""

    def __init__(self, entry_count, endpoint_count, uses_homes, seed):
        self.rng = random.Random(seed)
        self.chooser = choice.LeastLoaded(random.Random(seed))
        self.ids = [f"i-{number:03d}" for number in range(endpoint_count)]
        self.homes = [
            home_endpoints.home_endpoints(self.ids, index, entry_count)
            if uses_homes
            else frozenset()
            for index in range(entry_count)
        ]
        self.in_flight = [dict.fromkeys(self.ids, 0) for _ in self.homes]
        self.broadcast = [dict.fromkeys(self.ids, 0) for _ in self.homes]

    def choose(self, entry):
        """Returns the endpoint that an entry chooses, None if all seem full."""
        candidates = []
        for name in self.ids:
            own = self.in_flight[entry][name]
            others = sum(each[name] for each in self.broadcast)
            others -= self.broadcast[entry][name]
            if own + others >= SLOTS:
                continue
            stats = choice.EndpointStats(name, "z", 0.0)
            stats.in_flight = own
            stats.is_home = name in self.homes[entry]
            stats.report = choice.LoadReport(slots=SLOTS, running=others)
            candidates.append(stats)
        if not candidates:
            return None
        traits = choice.RequestTraits(prompt_tokens=800, zone="z")
        return self.chooser.choose(candidates, traits, 0.0).name

    def share_behind_others(self, rate_per_s, total_s, broadcast_s, end_s):
        """Returns the share of requests sent to endpoints without a slot."""
        entries = range(len(self.homes))
        weights = [self.rng.uniform(0.4, 1.8) for _ in entries]
        order = itertools.count()
        events = [
            (
                self.rng.random() * broadcast_s,
                next(order),
                "broadcast",
                each,
                "",
            )
            for each in entries
        ]
        events.append((0.0, next(order), "request", 0, ""))
        heapq.heapify(events)
        sent = behind = 0
        while events[0][0] < end_s:
            now_s, _, kind, entry, name = heapq.heappop(events)
            if kind == "broadcast":
                self.broadcast[entry] = dict(self.in_flight[entry])
                later = (now_s + broadcast_s, next(order), kind, entry, "")
                heapq.heappush(events, later)
                continue
            if kind == "end":
                self.in_flight[entry][name] -= 1
                continue
            at_s = now_s + self.rng.expovariate(rate_per_s)
            heapq.heappush(events, (at_s, next(order), kind, 0, ""))
            (entry,) = self.rng.choices(entries, weights)
            chosen = self.choose(entry)
            if chosen is None:
                continue
            sent += 1
            behind += sum(each[chosen] for each in self.in_flight) >= SLOTS
            self.in_flight[entry][chosen] += 1
            end = now_s + self.rng.uniform(0.7, 1.3) * total_s
            heapq.heappush(events, (end, next(order), "end", entry, chosen))
        return behind / sent


@pytest.mark.parametrize("seed", range(2))
def test_entries_with_homes_seldom_meet_at_the_last_free_slots(seed):
    """Replays a fleet with nine tenths of its slots taken."""
    shares = [
        Fleet(12, 64, uses_homes, seed).share_behind_others(
            rate_per_s=80.0, total_s=2.1, broadcast_s=0.17, end_s=12.0
        )
        for uses_homes in (False, True)
    ]
    assert shares[0] > 0.1
    assert shares[1] <= shares[0] / 2
