"""Tests of the balancing of a service with several groups of ranks."""

import random

import pytest
from twisted.internet import defer
from twisted.internet import task

from godwitdale_experts import map_change
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import expert_balancer
from godwitdale_gateway import groups
from godwitdale_gateway import ranks
from godwitdale_http import pool
from godwitdale_observe import logs
from godwitdale_routing import routes

SERVICE = "llm"
EXPERTS = 8
LAYOUT = routes.ExpertLayout(
    sets=1,
    experts=EXPERTS,
    replica_slots=3,
    max_new=3,
    copy_s=0.01,
    report_lag_s=0.1,
)
# Rank 0 of every group holds the expert in demand alone.
RANK_EXPERTS = ((0, 1, 2), (3, 4, 5), (6, 7, 1), (2, 3, 4))


def endpoint(name):
    address = pool.Address("127.0.0.1", 1)
    return directory_lib.Endpoint(name, SERVICE, address, "z", 4, False)


def status(name):
    members = tuple(endpoint(f"{name}-{rank}") for rank in range(4))
    reports = tuple(
        ranks.RankReport(
            name, 1, rank, 4, True, 1, None, None, None, slowdown=1.0
        )
        for rank in range(4)
    )
    return groups.GroupStatus(name, 1, members, reports)


class FakeRanks:
    """Two groups whose requests mostly choose one expert."""

    def __init__(self, clock):
        self._clock = clock
        self.statuses = [status("g0"), status("g1")]

    def endpoints(self, _service):
        return [each for status in self.statuses for each in status.members]

    async def read(self, _service):
        return self.statuses

    async def read_counts(self, _endpoint):
        count = int(self._clock.seconds() * 1000)
        counts = [count * 10] + [count] * (EXPERTS - 1)
        return ranks.ExpertCounts(1, tuple(counts))

    async def read_experts(self, endpoint):
        rank = int(endpoint.id[-1])
        return ranks.HeldExperts(1, 0, (RANK_EXPERTS[rank],))


class FakeChanger:
    """Changes that never end."""

    def __init__(self):
        self.changed_groups = []

    async def change(self, _service, group, *_):
        self.changed_groups.append(group.status.name)
        await defer.Deferred()
        return map_change.Phase.CHANGED


class FakeEntries:
    """There is no other entry."""

    seniority = 0
    is_oldest = True

    def announced_changes(self):
        return []


class FakeLoad:
    """Load of two groups, by name of the group."""

    def __init__(self):
        self.ratios = {"g0": 0.8, "g1": 0.8}

    def stalled_s(self, _service):
        return 0.0

    def iteration_s(self, _service):
        return 0.1

    def iteration_ratio(self, _service):
        return max(self.ratios.values())

    def group_iteration_ratio(self, endpoint):
        return self.ratios[endpoint.id[:2]]


class Balancing:
    """A balancer of both groups on a virtual clock."""

    def __init__(self):
        self.clock = task.Clock()
        self.changer = FakeChanger()
        self.load = FakeLoad()
        fake_ranks = FakeRanks(self.clock)
        balancer = expert_balancer.ExpertBalancer(
            fake_ranks,
            fake_ranks,
            self.changer,
            FakeEntries(),
            self.load,
            self.clock,
            random.Random(1),
            logs.EventLog(),
        )
        balancer.configure({SERVICE: routes.Engine(slots=4, layout=LAYOUT)})
        defer.ensureDeferred(balancer.run())

    def run(self, seconds):
        self.clock.pump([0.05] * int(seconds / 0.05))


@pytest.fixture
def balancing():
    return Balancing()


def test_groups_do_not_wait_for_the_change_of_another_group(balancing):
    """Guards against outdated maps: each group waited for all the others."""
    balancing.run(5.0)
    assert sorted(balancing.changer.changed_groups) == ["g0", "g1"]


def test_group_with_short_iterations_is_not_changed(balancing):
    balancing.load.ratios["g1"] = 0.3
    balancing.run(5.0)
    assert balancing.changer.changed_groups == ["g0"]
