"""Answers in frames, over connections that repeat, lose and reorder them."""

import random

import hypothesis
from hypothesis import strategies as st
from twisted.internet import task

from godwitdale_link import answers
from godwitdale_link import attempt_history
from godwitdale_link import messages
from godwitdale_link import server
from godwitdale_verdicts import identifiers

LOAD = messages.EndpointLoad(0, 0, 1, 1.0, 0.0, 1.0, False)
POSITION = messages.Position(0, 0.0)
ID = identifiers.RequestId("entry", 1)


def answer_log(parts):
    log = answers.ReplayBuffer(ID, "mill")
    log.add_head(200, [], 0.0)
    for part in parts:
        log.add_data(part)
    log.add_end(LOAD)
    return log


def take(assembly, frame):
    if isinstance(frame, messages.AnswerHead):
        return assembly.accept_head()
    if isinstance(frame, messages.AnswerData):
        return assembly.accept_data(frame.frame_number, frame.data)
    return assembly.accept_end(frame.frame_number, frame.digest)


@hypothesis.given(
    st.lists(st.binary(min_size=1, max_size=8), max_size=8),
    st.integers(0, 1000),
)
def test_an_answer_is_put_together_whole_from_frames_in_any_order(parts, seed):
    log = answer_log(parts)
    rng = random.Random(seed)
    assembly = answers.AnswerAssembler()
    received = []
    progress = None
    for _ in range(200):
        frames = log.frames_from(assembly.next_frame)
        rng.shuffle(frames)
        for frame in frames[: rng.randint(0, len(frames))]:
            progress = take(assembly, frame)
            if progress is answers.FrameResult.ADVANCED and isinstance(
                frame, messages.AnswerData
            ):
                received.append(frame.data)
            if progress is answers.FrameResult.COMPLETE:
                assert received == parts
                return
    assert len(received) <= len(parts)


def test_a_changed_byte_is_noticed():
    log = answer_log([b"one", b"two"])
    assembly = answers.AnswerAssembler()
    assembly.accept_head()
    assembly.accept_data(1, b"one")
    assembly.accept_data(2, b"twO")
    end = log.frames_from(3)[0]
    progress = assembly.accept_end(end.frame_number, end.digest)
    assert progress is answers.FrameResult.DAMAGED


class Transport:
    """Collects what is written; ends nothing by itself."""

    def __init__(self):
        self.written = []
        self.is_aborted = False

    def write(self, data):
        self.written.append(data)

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


class Handler:
    """Takes requests and never starts one."""

    def __init__(self):
        self.submits = []
        self.started = set()

    def load(self):
        return LOAD

    def heaviest_accounts(self):
        return []

    def position(self):
        return POSITION

    def on_entry_position(self, incarnation, position):
        pass

    def on_submit(self, submit, sink):
        self.submits.append(submit)

    def revoke(self, request_id):
        return request_id in self.started

    def cancel(self, request_id):
        pass


def submit(request_id=ID, agent="agent"):
    return messages.Submit(
        id=request_id,
        agent_incarnation=agent,
        account="mill",
        weight=1.0,
        offered_per_admitted=1.0,
        service_class="quote",
        priority=0,
        first_byte_timeout_s=1.0,
        timeout_s=1.0,
        key_digest=None,
        repeatable=False,
        method="POST",
        path="/",
        headers=[],
        body=b"",
        position=POSITION,
    )


def agent_side():
    handler = Handler()
    made = server.LinkServer(
        "agent", "e1", handler, task.Clock(), server.RetentionPolicy()
    )
    return made, handler


def connect(link_server, number):
    connection = link_server.buildProtocol(None)
    connection.transport = Transport()
    connection.message_received(messages.Hello("entry", number, POSITION))
    return connection


def last_message(connection):
    data = connection.transport.written[-1]
    return messages.agent_message_decoder.decode(data[4:])


def test_a_request_that_comes_twice_is_taken_once():
    link_server, handler = agent_side()
    connection = connect(link_server, 1)
    connection.message_received(submit())
    connection.message_received(submit())
    assert len(handler.submits) == 1


def test_a_request_revoked_before_it_comes_is_never_taken():
    link_server, handler = agent_side()
    connection = connect(link_server, 1)
    connection.message_received(messages.Revoke(ID))
    assert last_message(connection) == messages.Revoked(ID, started=False)
    connection.message_received(submit())
    assert handler.submits == []
    assert last_message(connection).verdict == "not-run"


def test_a_request_that_has_started_is_not_revoked():
    link_server, handler = agent_side()
    connection = connect(link_server, 1)
    connection.message_received(submit())
    handler.started.add(ID)
    connection.message_received(messages.Revoke(ID))
    assert last_message(connection) == messages.Revoked(ID, started=True)


def test_an_older_connection_is_not_read_any_more():
    link_server, handler = agent_side()
    old = connect(link_server, 1)
    connect(link_server, 2)
    payload = messages.encoder.encode(submit())
    old.dataReceived(len(payload).to_bytes(4, "big") + payload)
    assert old.transport.is_aborted
    assert handler.submits == []


def test_a_request_for_an_earlier_life_of_the_agent_is_refused():
    link_server, handler = agent_side()
    connection = connect(link_server, 1)
    connection.message_received(submit(agent="earlier"))
    assert handler.submits == []
    assert last_message(connection).verdict == "not-run"


def test_resuming_what_never_came_keeps_it_from_starting():
    link_server, handler = agent_side()
    connection = connect(link_server, 1)
    connection.message_received(messages.Resume(ID, "mill", 0))
    assert last_message(connection).verdict == "not-run"
    connection.message_received(submit())
    assert handler.submits == []


def test_garbage_ends_the_connection_and_nothing_else():
    link_server, _ = agent_side()
    bad, good = connect(link_server, 1), link_server.buildProtocol(None)
    good.transport = Transport()
    good.message_received(messages.Hello("other", 1, POSITION))
    bad.dataReceived(b"\x00\x00\x00\x02\xff\xff")
    assert bad.transport.is_aborted
    assert not good.transport.is_aborted


def test_forgotten_requests_count_as_seen():
    remembered = attempt_history.AttemptHistory(max_ids=2)
    ids = [identifiers.RequestId("entry", number) for number in range(1, 5)]
    for each in ids:
        remembered.add(each)
    assert remembered.may_have_run(ids[0])
    assert not remembered.may_have_seen(identifiers.RequestId("entry", 9))
