"""Tests of clients whose servers send bodies without end."""

import pytest
from twisted.internet import defer
from twisted.internet import task
import unending

from godwitdale_platform import endpoint_client
from godwitdale_platform import instances
from godwitdale_platform import log
from godwitdale_verdicts import exceptions

# Far above the bound of every client.
ENDLESS_BYTES = 96 << 20


def get_json(reactor):
    client = endpoint_client.EndpointClient(unending.URL, reactor, 1.0)
    return client.get_json("/load", 5.0)


def post_json(reactor):
    client = endpoint_client.EndpointClient(unending.URL, reactor, 1.0)
    return client.post_json("/orders", {"type": "prepare"}, 5.0)


def append(reactor):
    return log.HttpLog(unending.URL, reactor, 5.0).append("claims-0", b"x")


def read(reactor):
    return log.HttpLog(unending.URL, reactor, 5.0).read("claims-0", 0)


def fetch(reactor):
    return instances.HttpInstanceList(unending.URL, reactor, 5.0).fetch()


CALLS = [get_json, post_json, append, read, fetch]


@pytest.fixture
def server(monkeypatch):
    server = unending.Server()
    # Twisted's producers of request bodies follow the real reactor otherwise.
    monkeypatch.setattr(task, "_theCooperator", server.cooperator())
    return server


def outcome_of(call, server):
    """Returns what a call has returned or raised, or None while it runs."""
    outcomes = []
    defer.ensureDeferred(call(server.reactor)).addBoth(outcomes.append)
    server.accept()
    return outcomes


@pytest.mark.parametrize("is_chunked", [True, False])
@pytest.mark.parametrize("call", CALLS)
def test_body_without_end_is_kept(server, call, is_chunked):
    """Guards against clients that keep bytes until the memory is full."""
    outcomes = outcome_of(call, server)
    server.send_head(is_chunked)
    sent_bytes = server.send_until_closed(ENDLESS_BYTES)
    assert sent_bytes < ENDLESS_BYTES
    assert len(outcomes) == 1


@pytest.mark.parametrize("call", CALLS)
def test_body_that_never_ends_keeps_a_call_waiting(server, call):
    """Guards against tasks that wait for a server that sends very slowly."""
    outcomes = outcome_of(call, server)
    server.send_head(is_chunked=True)
    for _ in range(200):
        server.send(b" ")
        server.reactor.advance(1.0)
    assert len(outcomes) == 1


@pytest.mark.parametrize(
    ("call", "body", "expected"),
    [
        (get_json, b'{"a": 1}', {"a": 1}),
        (post_json, b"[]", []),
        (append, b'{"offset": 3}', log.Appended(3)),
        (
            read,
            b'{"first": 0, "head": 0, "records": []}',
            log.Page(0, 0, []),
        ),
        (fetch, b"[]", []),
    ],
)
@pytest.mark.parametrize("is_chunked", [True, False])
def test_whole_body_is_decoded(server, call, body, expected, is_chunked):
    outcomes = outcome_of(call, server)
    server.send_head(is_chunked, 201 if call is append else 200)
    server.send(body)
    server.end()
    assert outcomes == [expected]


def test_read_of_a_page_without_end_says_that_the_log_is_away(server):
    outcomes = outcome_of(read, server)
    server.send_head(is_chunked=True)
    server.send_until_closed(ENDLESS_BYTES)
    assert outcomes[0].check(exceptions.PlatformUnavailableError)


def test_append_with_an_answer_without_end_may_be_in_the_log(server):
    """Guards against claims that are taken for lost and appended as new."""
    outcomes = outcome_of(append, server)
    server.send_head(is_chunked=True, status=201)
    server.send_until_closed(ENDLESS_BYTES)
    assert isinstance(outcomes[0], log.AppendUnknown)
