"""Histograms, life cycle and tables."""

from twisted.internet import task

from godwitdale import tables
from godwitdale_observe import histograms
from godwitdale_process import lifecycle


def test_histograms_are_bounded_at_many_accounts():
    made = histograms.Histograms(max_accounts=8)
    for number in range(2000):
        made.record(
            histograms.Metric.TOTAL, "quote", f"account-{number}", 0.010
        )
    rows = made.summaries()
    accounts = [row for row in rows if row.kind == "account"]
    assert len(accounts) <= 9
    assert sum(row.count for row in accounts) == 2000
    assert histograms.OTHER_ACCOUNTS in {row.name for row in accounts}


def test_a_histogram_row_tells_percentiles_in_milliseconds():
    made = histograms.Histograms(max_accounts=8)
    for value_ms in range(1, 101):
        made.record(histograms.Metric.TOTAL, "c", "a", value_ms / 1000)
    (row,) = [row for row in made.summaries() if row.kind == "class"]
    assert 49 <= row.p50_ms <= 52
    assert 94 <= row.p95_ms <= 97


class Service:
    def __init__(self, in_flight):
        self.left = in_flight
        self.calls = []

    def drain(self):
        self.calls.append("drain")

    def in_flight(self):
        return self.left

    def abort_requests(self):
        self.calls.append("cut")
        self.left = 0

    def close(self):
        self.calls.append("close")


def started(in_flight, limit_s=10.0):
    clock = task.Clock()
    service = Service(in_flight)
    stopped = []
    life = lifecycle.LifeCycle(
        service, clock, limit_s, lambda: stopped.append(True)
    )
    life.mark_ready()
    return life, service, clock, stopped


def test_a_stop_waits_for_what_is_in_flight():
    life, service, clock, stopped = started(in_flight=1)
    life.stop()
    clock.pump([0.1] * 20)
    assert (life.state, stopped) == ("draining", [])
    service.left = 0
    clock.pump([0.1] * 5)
    assert (life.state, stopped) == ("stopped", [True])
    assert service.calls == ["drain", "close"]


def test_a_second_stop_and_the_limit_cut():
    for limit_s, stops in ((100.0, 2), (1.0, 1)):
        life, service, clock, stopped = started(1, limit_s)
        for _ in range(stops):
            life.stop()
        clock.pump([0.1] * 20)
        assert service.calls == ["drain", "cut", "close"]
        assert stopped == [True]


def test_tables_are_aligned():
    table = tables.render(("a", "long"), [("xx", 1.5), ("y", 22)])
    assert table.splitlines() == ["a   long", "xx  1.50", "y   22"]
