"""Tests of the whole request path, with each part in its own process."""

import contextlib
import json
import socket
import time

import msgspec
import pytest

import builders
from godwitdale import http_client
from godwitdale import testing


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    config = testing.ClusterConfig(declarations=builders.declarations())
    with testing.Cluster(config, tmp_path_factory.mktemp("path")) as started:
        yield started


def test_chat_stream_is_complete_and_its_events_have_ids(cluster):
    answer = http_client.send_request(
        cluster.entry_url() + builders.CHAT_PATH,
        "POST",
        builders.chat_body(tokens=5),
        cluster.request_headers("buyer"),
    )
    events = answer.body.decode().strip().split("\n\n")
    assert answer.status == 200
    assert answer.headers["content-type"] == "text/event-stream"
    assert answer.verdict == "ran"
    assert len(events) == 6
    assert events[-1].endswith("data: [DONE]")
    assert all(event.startswith("id: engine-") for event in events)


def test_chat_without_streaming_has_a_content_length(cluster):
    answer = http_client.send_request(
        cluster.entry_url() + builders.CHAT_PATH,
        "POST",
        builders.chat_body(tokens=5, stream=False),
        cluster.request_headers("buyer"),
    )
    assert answer.json()["usage"]["completion_tokens"] == 5
    assert int(answer.headers["content-length"]) == len(answer.body)


def test_booking_sent_to_both_entries_takes_effect_once(cluster):
    codes = []
    for number in (1, 2, 1):
        answer = http_client.send_request(
            cluster.entry_url(number) + "/orders",
            "POST",
            {"bags": 3},
            cluster.request_headers("mill", Idempotency_Key='"one"'),
        )
        codes.append(answer.status)
    effects = cluster.fetch_records("endpoint-app-1")
    effects += cluster.fetch_records("endpoint-app-2")
    assert codes == [201, 201, 201]
    assert len(effects) == 1
    assert effects[0]["account"] == "mill"


def test_idempotency_key_with_another_body_is_refused(cluster):
    url = cluster.entry_url() + "/orders"
    headers = cluster.request_headers("mill", Idempotency_Key="two")
    first = http_client.send_request(url, "POST", {"bags": 1}, headers)
    second = http_client.send_request(url, "POST", {"bags": 2}, headers)
    assert first.status == 201
    assert second.status == 422
    assert second.json()["verdict"] == "not-run"


def test_idempotency_keys_are_separate_for_each_account(cluster):
    url = cluster.entry_url() + "/orders"
    answers = [
        http_client.send_request(
            url,
            "POST",
            {"of": account},
            cluster.request_headers(account, Idempotency_Key="shared"),
        )
        for account in ("mill", "buyer")
    ]
    assert [answer.status for answer in answers] == [201, 201]


def test_account_header_of_a_caller_is_ignored(cluster):
    answer = http_client.send_request(
        cluster.entry_url() + "/orders",
        "POST",
        {"spoof": True},
        cluster.request_headers(
            "buyer", Idempotency_Key="spoof", Godwitdale_Account="mill"
        ),
    )
    effects = cluster.fetch_records("endpoint-app-1")
    effects += cluster.fetch_records("endpoint-app-2")
    spoofed = [effect for effect in effects if "spoof" in effect["body"]]
    assert answer.status == 201
    assert [effect["account"] for effect in spoofed] == ["buyer"]


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"headers": {}}, 401),
        ({"headers": {"Authorization": "Bearer mill.wrong"}}, 401),
        ({"headers": {"Authorization": "Basic x"}}, 401),
        ({"body": b"not json"}, 400),
        ({"body": {"model": builders.MODEL, "messages": []}}, 400),
        ({"body": {"model": "no-such", "messages": [{"role": "user"}]}}, 404),
        ({"path": "/nowhere"}, 404),
        ({"body": b"x" * 2_000_000}, 413),
        ({"path": "/orders"}, 400),
    ],
)
def test_invalid_request_is_refused_as_not_run(cluster, change, status):
    answer = http_client.send_request(
        cluster.entry_url() + change.get("path", builders.CHAT_PATH),
        "POST",
        change.get("body", builders.chat_body()),
        change.get("headers", cluster.request_headers("buyer")),
    )
    assert answer.status == status
    assert answer.verdict == "not-run"
    assert answer.json()["verdict"] == "not-run"
    assert answer.headers["content-type"] == "application/problem+json"


def test_disconnect_of_a_caller_cancels_its_request(cluster):
    before = [
        len(cluster.fetch_records(f"endpoint-engine-{n}")["cancelled"])
        for n in (1, 2)
    ]
    with http_client.open_stream(
        cluster.entry_url() + builders.CHAT_PATH,
        builders.chat_body(tokens=2000),
        cluster.request_headers("buyer"),
    ) as response:
        response.readline()
    cluster.wait_until(
        lambda: (
            sum(
                len(cluster.fetch_records(f"endpoint-engine-{n}")["cancelled"])
                for n in (1, 2)
            )
            > sum(before)
        ),
        "the engine has cancelled the request",
    )


@pytest.mark.parametrize(
    "sent",
    [
        b"\x00\xff\xfe garbage\r\n\r\n",
        b"GET /v1/models HTTP/1.1\r\nX-Long: " + b"a" * 200_000,
        b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 2000 + b"\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{",
    ],
)
def test_malformed_data_does_not_affect_other_callers(cluster, sent):
    port = cluster.processes["entry-1"].port
    with socket.create_connection((testing.HOST, port)) as connection:
        with contextlib.suppress(OSError):
            connection.sendall(sent)
        answer = http_client.send_request(
            cluster.entry_url() + "/v1/models",
            headers=cluster.request_headers("mill"),
        )
    assert answer.status == 200


def test_caller_that_never_reads_does_not_affect_others(cluster):
    port = cluster.processes["entry-1"].port
    body = msgspec.json.encode(builders.chat_body(tokens=400))
    headers = cluster.request_headers("buyer", Content_Length=str(len(body)))
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "POST /v1/chat/completions HTTP/1.1\r\n" + "\r\n".join(lines)
    with socket.create_connection((testing.HOST, port)) as connection:
        connection.sendall(head.encode() + b"\r\n\r\n" + body)
        answer = http_client.send_request(
            cluster.entry_url() + builders.CHAT_PATH,
            "POST",
            builders.chat_body(tokens=3),
            cluster.request_headers("buyer"),
        )
    assert answer.status == 200


def test_models_are_listed(cluster):
    answer = http_client.send_request(
        cluster.entry_url() + "/v1/models",
        headers=cluster.request_headers("mill"),
    )
    assert [each["id"] for each in answer.json()["data"]] == [builders.MODEL]


def test_stream_resumes_at_another_entry_only_for_its_account(cluster):
    url = cluster.entry_url(1) + builders.CHAT_PATH
    complete = http_client.send_request(
        url,
        "POST",
        builders.chat_body(tokens=6),
        cluster.request_headers("buyer"),
    )
    events = complete.body.decode().strip().split("\n\n")
    last_id = events[2].splitlines()[0].removeprefix("id: ")
    resumed = http_client.send_request(
        cluster.entry_url(2) + builders.CHAT_PATH,
        "POST",
        builders.chat_body(tokens=6),
        cluster.request_headers("buyer", Last_Event_ID=last_id),
    )
    other_account = http_client.send_request(
        cluster.entry_url(2) + builders.CHAT_PATH,
        "POST",
        builders.chat_body(tokens=6),
        cluster.request_headers("mill", Last_Event_ID=last_id),
    )
    assert resumed.body.decode().strip().split("\n\n") == events[3:]
    assert other_account.status == 502
    assert b"pumice" not in other_account.body


def test_log_has_the_verdict_but_no_key_and_no_body(cluster):
    http_client.send_request(
        cluster.entry_url() + builders.CHAT_PATH,
        "POST",
        builders.chat_body(text="secret-text"),
        cluster.request_headers("buyer"),
    )
    output = cluster.processes["entry-1"].read_output()
    lines = [json.loads(line) for line in output.splitlines()]
    answered = [line for line in lines if line.get("result") == "answered"]
    assert answered[-1]["account"] == "buyer"
    assert answered[-1]["service_class"] == "quote"
    assert answered[-1]["verdict"] == "ran"
    assert "secret-text" not in output
    assert cluster.account_keys["buyer"] not in output


def test_status_shows_histograms_and_declarations_offset(cluster):
    shown = cluster.run_command(
        "status",
        "--instances-url",
        cluster.processes["instances"].url,
        "--json",
    )
    rows = json.loads(shown.stdout)
    offsets = {row["status"]["declarations"]["next_offset"] for row in rows}
    entry = next(r for r in rows if r["instance"]["name"] == "entry-1")
    metrics = {each["metric"] for each in entry["status"]["histograms"]}
    assert len(rows) == 6
    assert len(offsets) == 1
    assert {"time_to_first_token", "whole_time"} <= metrics


def test_graceful_stop_completes_requests_in_flight(tmp_path):
    config = testing.ClusterConfig(
        declarations=builders.declarations(engines=1, apps=0)
    )
    with testing.Cluster(config, tmp_path) as cluster:
        url = cluster.entry_url() + builders.CHAT_PATH
        with http_client.open_stream(
            url, builders.chat_body(tokens=60), cluster.request_headers("buyer")
        ) as response:
            response.readline()
            cluster.terminate("entry-1")
            cluster.terminate("agent-engine-1")
            time.sleep(0.3)
            refused = http_client.send_request(
                url,
                "POST",
                builders.chat_body(),
                cluster.request_headers("buyer"),
            )
            rest = response.read().decode()
        assert refused.status == 503
        assert refused.verdict == "not-run"
        assert rest.strip().endswith("data: [DONE]")
        assert cluster.processes["entry-1"].wait_for_exit() == 0
        assert cluster.processes["agent-engine-1"].wait_for_exit() == 0
