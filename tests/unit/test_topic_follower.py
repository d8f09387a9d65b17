"""Following a topic of a store that answers late, never, or too early."""

import random

import pytest
from twisted.internet import defer
from twisted.internet import task

from godwitdale_gateway import topic_follower
from godwitdale_observe import logs
from godwitdale_verdicts import exceptions


class Topic:
    """A topic whose answers a test gives."""

    name = "topic"

    def __init__(self):
        self.reads = []
        self.snapshots = []

    def read_newest(self):
        answer = defer.Deferred()
        self.snapshots.append(answer)
        return _await(answer)

    def read(self, offset, wait_s):
        answer = defer.Deferred()
        self.reads.append((offset, wait_s, answer))
        return _await(answer)


async def _await(answer):
    return await answer


class Copy:
    def __init__(self):
        self.pages = []
        self.confirmed_s = []

    def apply(self, page):
        self.pages.append(page)

    def confirm(self, as_of_s):
        self.confirmed_s.append(as_of_s)


class Setting:
    def __init__(self):
        self.clock = task.Clock()
        self.clock.advance(100)
        self.topic = Topic()
        self.copy = Copy()
        self.woken = []
        self.follower = topic_follower.TopicFollower(
            self.topic,
            self.copy,
            self.poll_wait,
            self.clock,
            random.Random(1),
            logs.EventLog(),
        )
        defer.ensureDeferred(self.follower.run())

    def poll_wait(self, is_woken):
        self.woken.append(is_woken)
        return 2.0

    def begin(self, offset=5):
        self.topic.snapshots[-1].callback(
            topic_follower.Page([], offset, is_snapshot=True)
        )

    def answer(self, *items):
        offset, _, answer = self.topic.reads[-1]
        answer.callback(topic_follower.Page(list(items), offset + len(items)))


@pytest.fixture
def setting():
    return Setting()


ITEM = topic_follower.Record("key", b"value")


def test_an_empty_poll_confirms_the_end_of_its_wait(setting):
    setting.begin()
    setting.clock.advance(2.3)
    setting.answer()
    assert setting.copy.confirmed_s == [100.0, 102.0]


def test_an_answer_with_records_confirms_only_when_it_was_asked(setting):
    setting.begin()
    setting.clock.advance(1.5)
    setting.answer(ITEM)
    assert setting.copy.confirmed_s == [100.0, 100.0]
    assert setting.follower.position == 6


def test_an_empty_answer_that_comes_too_early_confirms_little(setting):
    setting.begin()
    setting.clock.advance(0.5)
    setting.answer()
    assert setting.copy.confirmed_s == [100.0, 100.0]


def test_a_forgotten_history_is_read_anew(setting):
    setting.begin()
    setting.topic.reads[-1][2].callback(None)
    assert len(setting.topic.snapshots) == 2
    setting.begin(offset=40)
    assert setting.topic.reads[-1][0] == 40


def test_a_failed_read_is_tried_again_after_a_pause(setting):
    setting.begin()
    failure = exceptions.PlatformUnavailableError("down")
    setting.topic.reads[-1][2].errback(failure)
    assert not setting.follower.is_reachable
    assert len(setting.topic.reads) == 1
    setting.clock.advance(1.0)
    assert len(setting.topic.reads) == 2
    setting.answer()
    assert setting.follower.is_reachable


def test_a_hurried_poll_reads_at_once_and_spreads_the_next_one(setting):
    """All entries hurry together; without it their polls end together."""
    setting.begin()
    setting.answer()
    setting.follower.interrupt()
    assert setting.topic.reads[-1][1] == 0.0
    setting.answer()
    assert setting.woken[-1] is True


def test_polls_are_not_hurried_all_the_time(setting):
    setting.begin()
    setting.follower.interrupt()
    count = len(setting.topic.reads)
    setting.follower.interrupt()
    assert len(setting.topic.reads) == count
