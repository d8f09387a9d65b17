"""Tests of histograms, the life cycle of a daemon, and tables."""

from twisted.internet import task

from godwitdale import tables
from godwitdale_observe import histograms
from godwitdale_process import lifecycle


def test_the_number_of_accounts_with_histograms_is_limited():
    recorded = histograms.Histograms(max_accounts=8)
    for number in range(2000):
        recorded.record(
            histograms.Metric.TOTAL, "quote", f"account-{number}", 0.010
        )
    summaries = recorded.summaries()
    accounts = [each for each in summaries if each.kind == "account"]
    assert len(accounts) <= 9
    assert sum(each.count for each in accounts) == 2000
    assert histograms.OTHER_ACCOUNTS in {each.name for each in accounts}


def test_summaries_give_percentiles_in_milliseconds():
    recorded = histograms.Histograms(max_accounts=8)
    for value_ms in range(1, 101):
        recorded.record(histograms.Metric.TOTAL, "c", "a", value_ms / 1000)
    (summary,) = [each for each in recorded.summaries() if each.kind == "class"]
    assert 49 <= summary.p50_ms <= 52
    assert 94 <= summary.p95_ms <= 97


class RecordingDaemon:
    """A daemon that only records the calls of its life cycle."""

    def __init__(self, in_flight):
        self.in_flight_count = in_flight
        self.calls = []

    def drain(self):
        self.calls.append("drain")

    def in_flight(self):
        return self.in_flight_count

    def abort_requests(self):
        self.calls.append("abort_requests")
        self.in_flight_count = 0

    def close(self):
        self.calls.append("close")


def start_daemon(in_flight, max_drain_s=10.0):
    clock = task.Clock()
    daemon = RecordingDaemon(in_flight)
    stopped = []
    life_cycle = lifecycle.LifeCycle(
        daemon, clock, max_drain_s, lambda: stopped.append(True)
    )
    life_cycle.mark_ready()
    return life_cycle, daemon, clock, stopped


def test_a_stop_waits_for_requests_in_flight():
    life_cycle, daemon, clock, stopped = start_daemon(in_flight=1)
    life_cycle.stop()
    clock.pump([0.1] * 20)
    assert (life_cycle.state, stopped) == ("draining", [])
    daemon.in_flight_count = 0
    clock.pump([0.1] * 5)
    assert (life_cycle.state, stopped) == ("stopped", [True])
    assert daemon.calls == ["drain", "close"]


def test_a_second_stop_or_the_drain_limit_aborts_requests():
    for max_drain_s, stops in ((100.0, 2), (1.0, 1)):
        life_cycle, daemon, clock, stopped = start_daemon(1, max_drain_s)
        for _ in range(stops):
            life_cycle.stop()
        clock.pump([0.1] * 20)
        assert daemon.calls == ["drain", "abort_requests", "close"]
        assert stopped == [True]


def test_the_columns_of_a_table_are_aligned():
    table = tables.render(("a", "long"), [("xx", 1.5), ("y", 22)])
    assert table.splitlines() == ["a   long", "xx  1.50", "y   22"]
