"""Tests of the topic follower with late, failed and early answers."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from godwitdale_gateway import topic_follower
from godwitdale_verdicts import exceptions
import topic_standins


class RecordingCopy:
    """A copy that records the pages and confirmations it receives."""

    def __init__(self):
        self.pages = []
        self.confirmed_s = []

    def apply(self, page):
        self.pages.append(page)

    def confirm(self, as_of_s):
        self.confirmed_s.append(as_of_s)


class Harness:
    """A follower with its topic and copy on a virtual clock."""

    def __init__(self):
        self.clock = task.Clock()
        self.clock.advance(100)
        self.topic = topic_standins.ManualTopic("topic")
        self.copy = RecordingCopy()
        self.ended_early = []
        self.follower = topic_standins.new_follower(
            self.topic, self.copy, self.clock, self.poll_timeout
        )
        defer.ensureDeferred(self.follower.run())

    def poll_timeout(self, ended_early):
        self.ended_early.append(ended_early)
        return 2.0


@pytest.fixture
def harness():
    return Harness()


RECORD = topic_follower.Record("key", b"value")


def test_empty_poll_confirms_copy_as_of_its_timeout(harness):
    harness.topic.answer_snapshot()
    harness.clock.advance(2.3)
    harness.topic.answer_read()
    assert harness.copy.confirmed_s == [100.0, 102.0]


def test_answer_with_records_confirms_copy_as_of_the_request(harness):
    harness.topic.answer_snapshot()
    harness.clock.advance(1.5)
    harness.topic.answer_read(RECORD)
    assert harness.copy.confirmed_s == [100.0, 100.0]
    assert harness.follower.position == 6


def test_empty_answer_before_the_timeout_confirms_as_of_the_request(harness):
    harness.topic.answer_snapshot()
    harness.clock.advance(0.5)
    harness.topic.answer_read()
    assert harness.copy.confirmed_s == [100.0, 100.0]


def test_snapshot_is_read_again_when_old_records_are_gone(harness):
    harness.topic.answer_snapshot()
    harness.topic.forget_history()
    assert len(harness.topic.snapshots) == 2
    harness.topic.answer_snapshot(offset=40)
    assert harness.topic.reads[-1][0] == 40


def test_records_that_were_read_are_taken_back_by_an_older_snapshot(harness):
    harness.topic.answer_snapshot(offset=5)
    harness.topic.answer_read(RECORD)
    harness.clock.advance(0.3)
    harness.topic.forget_history()
    pages = list(harness.copy.pages)
    harness.topic.answer_snapshot(offset=5)
    assert harness.copy.pages == pages
    assert not harness.follower.is_up_to_date
    harness.clock.advance(1.0)
    harness.topic.answer_snapshot(offset=6)
    assert len(harness.copy.pages) == len(pages) + 1
    assert harness.follower.is_up_to_date


def test_failed_read_is_retried_after_a_backoff(harness):
    harness.topic.answer_snapshot()
    failure = exceptions.PlatformUnavailableError("down")
    harness.topic.reads[-1][2].errback(failure)
    assert not harness.follower.is_reachable
    assert len(harness.topic.reads) == 1
    harness.clock.advance(1.0)
    assert len(harness.topic.reads) == 2
    harness.topic.answer_read()
    assert harness.follower.is_reachable


def test_interrupted_poll_reads_at_once_and_counts_as_ended_early(harness):
    """All entries interrupt their polls at about the same time.

    Their next polls would end at the same time if the interrupted ones did not
    count as ended early.
    """
    harness.topic.answer_snapshot()
    harness.topic.answer_read()
    harness.follower.interrupt()
    assert harness.topic.reads[-1][1] == 0.0
    harness.topic.answer_read()
    assert harness.ended_early[-1] is True


def test_interrupt_soon_after_another_has_no_effect(harness):
    harness.topic.answer_snapshot()
    harness.follower.interrupt()
    count = len(harness.topic.reads)
    harness.follower.interrupt()
    assert len(harness.topic.reads) == count


def test_records_in_quick_succession_share_reads(harness):
    """Guards against reads that grow with entries times endpoints.

    Replays the start of a fleet, in which all endpoints write their records
    within two seconds.
    """
    harness.topic.answer_snapshot()
    for _ in range(200):
        if harness.topic.reads[-1][2].called:
            harness.clock.advance(0.01)
            continue
        harness.topic.answer_read(RECORD)
        harness.clock.advance(0.01)
    assert len(harness.topic.reads) <= 2 / 0.3 + 2


def test_single_record_is_read_without_a_delay(harness):
    harness.topic.answer_snapshot()
    harness.clock.advance(1.0)
    harness.topic.answer_read(RECORD)
    assert len(harness.copy.pages) == 2
    harness.clock.advance(0.3)
    assert len(harness.topic.reads) == 2
