"""Link messages and answer frames that arrive repeated, lost or reordered."""

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


def make_buffer(parts):
    buffer = answers.ReplayBuffer(ID, "mill")
    buffer.add_head(200, [], 0.0)
    for part in parts:
        buffer.add_data(part)
    buffer.add_end(LOAD)
    return buffer


def accept_frame(assembler, frame):
    if isinstance(frame, messages.AnswerHead):
        return assembler.accept_head()
    if isinstance(frame, messages.AnswerData):
        return assembler.accept_data(frame.frame_number, frame.data)
    return assembler.accept_end(frame.frame_number, frame.digest)


@hypothesis.given(
    st.lists(st.binary(min_size=1, max_size=8), max_size=8),
    st.integers(0, 1000),
)
def test_answer_is_assembled_from_frames_in_any_order(parts, seed):
    buffer = make_buffer(parts)
    rng = random.Random(seed)
    assembler = answers.AnswerAssembler()
    received = []
    result = None
    for _ in range(200):
        frames = buffer.frames_from(assembler.next_frame)
        rng.shuffle(frames)
        for frame in frames[: rng.randint(0, len(frames))]:
            result = accept_frame(assembler, frame)
            if result is answers.FrameResult.ADVANCED and isinstance(
                frame, messages.AnswerData
            ):
                received.append(frame.data)
            if result is answers.FrameResult.COMPLETE:
                assert received == parts
                return
    assert len(received) <= len(parts)


def test_changed_byte_is_detected():
    buffer = make_buffer([b"one", b"two"])
    assembler = answers.AnswerAssembler()
    assembler.accept_head()
    assembler.accept_data(1, b"one")
    assembler.accept_data(2, b"twO")
    end = buffer.frames_from(3)[0]
    result = assembler.accept_end(end.frame_number, end.digest)
    assert result is answers.FrameResult.DAMAGED


class RecordingTransport:
    """Records what is written and whether the connection was aborted."""

    def __init__(self):
        self.written = []
        self.is_aborted = False

    def write(self, data):
        self.written.append(data)

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


class RecordingHandler:
    """Records submitted requests without starting them."""

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

    def cancel(self, request_ids):
        pass


def make_submit(request_id=ID, agent="agent"):
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


def make_server():
    handler = RecordingHandler()
    link_server = server.LinkServer(
        "agent", "e1", handler, task.Clock(), server.RetentionPolicy()
    )
    return link_server, handler


def connect(link_server, number):
    connection = link_server.buildProtocol(None)
    connection.transport = RecordingTransport()
    connection.message_received(messages.Hello("entry", number, POSITION))
    return connection


def last_message(connection):
    data = connection.transport.written[-1]
    return messages.agent_message_decoder.decode(data[4:])


def test_duplicate_submit_is_handled_once():
    link_server, handler = make_server()
    connection = connect(link_server, 1)
    connection.message_received(make_submit())
    connection.message_received(make_submit())
    assert len(handler.submits) == 1


def test_submit_after_its_revocation_is_refused():
    link_server, handler = make_server()
    connection = connect(link_server, 1)
    connection.message_received(messages.Revoke(ID))
    assert last_message(connection) == messages.Revoked(ID, started=False)
    connection.message_received(make_submit())
    assert handler.submits == []
    assert last_message(connection).verdict == "not-run"


def test_started_request_is_not_revoked():
    link_server, handler = make_server()
    connection = connect(link_server, 1)
    connection.message_received(make_submit())
    handler.started.add(ID)
    connection.message_received(messages.Revoke(ID))
    assert last_message(connection) == messages.Revoked(ID, started=True)


def test_newer_connection_aborts_the_older_one():
    link_server, handler = make_server()
    old = connect(link_server, 1)
    connect(link_server, 2)
    payload = messages.encoder.encode(make_submit())
    old.dataReceived(len(payload).to_bytes(4, "big") + payload)
    assert old.transport.is_aborted
    assert handler.submits == []


def test_submit_for_an_earlier_incarnation_of_the_agent_is_refused():
    link_server, handler = make_server()
    connection = connect(link_server, 1)
    connection.message_received(make_submit(agent="earlier"))
    assert handler.submits == []
    assert last_message(connection).verdict == "not-run"


def test_resume_of_an_unseen_attempt_prevents_its_start():
    link_server, handler = make_server()
    connection = connect(link_server, 1)
    connection.message_received(messages.Resume(ID, "mill", 0))
    assert last_message(connection).verdict == "not-run"
    connection.message_received(make_submit())
    assert handler.submits == []


def test_undecodable_message_aborts_only_its_connection():
    link_server, _ = make_server()
    bad, good = connect(link_server, 1), link_server.buildProtocol(None)
    good.transport = RecordingTransport()
    good.message_received(messages.Hello("other", 1, POSITION))
    bad.dataReceived(b"\x00\x00\x00\x02\xff\xff")
    assert bad.transport.is_aborted
    assert not good.transport.is_aborted


def test_evicted_attempts_count_as_seen():
    history = attempt_history.AttemptHistory(max_ids=2)
    ids = [identifiers.RequestId("entry", number) for number in range(1, 5)]
    for each in ids:
        history.record_submitted(each)
    assert history.may_have_run(ids[0])
    assert not history.may_have_seen(identifiers.RequestId("entry", 9))
