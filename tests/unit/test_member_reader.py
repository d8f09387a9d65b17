"""Tests of how entries learn the groups of endpoints."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import iteration_groups
from godwitdale_gateway import member_reader
from godwitdale_gateway import ranks
from godwitdale_http import pool
from godwitdale_observe import logs
from godwitdale_routing import routes
from godwitdale_verdicts import exceptions

SERVICE = "llm"
LAYOUT = routes.ExpertLayout(
    sets=1, experts=8, replica_slots=3, max_new=1, copy_s=0.1, report_lag_s=0.1
)
ENGINES = {
    SERVICE: routes.Engine(slots=4, layout=LAYOUT),
    "plain": routes.Engine(slots=4),
}


class FakeRankClient:
    """Reports that every engine belongs to one group."""

    def __init__(self):
        self.read_ids = []
        self.silent_ids = set()

    async def read_report(self, endpoint):
        self.read_ids.append(endpoint.id)
        if endpoint.id in self.silent_ids:
            raise exceptions.PlatformUnavailableError("no answer")
        return ranks.RankReport(
            "g0", 1, 0, 4, True, 1, None, None, None, slowdown=1.0
        )


class FakePeers:
    """Other entries, which do not answer."""

    def __init__(self):
        self.is_oldest = True
        self.queries = []

    def query_members(self, endpoint_ids):
        self.queries.append(list(endpoint_ids))


class Entry:
    """One entry with a reader."""

    def __init__(self):
        self.clock = task.Clock()
        self.clock.advance(100)
        self.client = FakeRankClient()
        self.peers = FakePeers()
        self.members = iteration_groups.GroupMembers()
        self.directory = directory_lib.Directory(lambda _: None)
        reader = member_reader.MemberReader(
            self.client,
            self.directory,
            self.members,
            self.peers,
            self.clock,
            logs.EventLog(),
        )
        reader.configure(ENGINES)
        defer.ensureDeferred(reader.run())

    def put(self, name, service=SERVICE):
        address = pool.Address("127.0.0.1", 1)
        self.directory.put(
            directory_lib.Endpoint(name, service, address, "z", 4, False), 0.0
        )

    def run(self, seconds):
        self.clock.pump([0.05] * int(seconds / 0.05))


@pytest.fixture
def entry():
    entry = Entry()
    entry.put("e0")
    entry.put("plain-0", "plain")
    return entry


def test_oldest_entry_reads_each_report_once(entry):
    entry.run(3.0)
    entry.put("e1")
    entry.run(3.0)
    assert entry.client.read_ids == ["e0", "e1"]
    assert entry.members.get("e1").group == "g0"
    assert entry.peers.queries == []


def test_younger_entry_asks_until_it_knows_the_groups(entry):
    """Lost datagrams must not leave an entry without the groups."""
    entry.peers.is_oldest = False
    entry.run(1.0)
    assert len(entry.peers.queries) > 1
    assert entry.client.read_ids == []
    entry.members.update({"e0": iteration_groups.Membership("g0", 4)})
    count = len(entry.peers.queries)
    entry.run(1.0)
    assert len(entry.peers.queries) == count


def test_silent_rank_is_read_again_after_a_delay(entry):
    entry.client.silent_ids = {"e0"}
    entry.run(1.0)
    assert entry.client.read_ids == ["e0"]
    entry.client.silent_ids = set()
    entry.run(3.0)
    assert entry.client.read_ids == ["e0", "e0"]
    assert entry.members.get("e0").size == 4
