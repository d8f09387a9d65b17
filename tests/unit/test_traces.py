"""Tests of request traces, which are built from the logs of entries."""

import gzip
import json

import pytest
from typer import testing

from godwitdale import cli
from godwitdale_observe import log_reading
from godwitdale_observe import traces

REQUEST = "9c41d07be2a35f68"


def log_line(at, event, instance="edge-1", **fields):
    """Returns a line in the form in which a process logs it."""
    line = {
        "time": f"2026-12-04 08:00:{at:06.3f}".replace(".", ","),
        "level": "INFO",
        "message": event,
        "instance": instance,
        **fields,
    }
    return json.dumps(line)


def load_line(at, **fields):
    return log_line(at, "service_load", service="llm", running=72, **fields)


REFUSED_LOG = [
    log_line(1.0, "configuration_in_force", version=3),
    load_line(4.5, limit=70),
    load_line(5.5, limit=60),
    log_line(
        6.0,
        "refused",
        request=REQUEST,
        reason="overloaded",
        detail="10 requests wait, a place takes 0.016 s",
        attempts=0,
    ),
    log_line(6.5, "configuration_in_force", version=4),
]
LOST_ANSWER_LOG = [
    log_line(1.0, "endpoint_listed", endpoint="i-7"),
    log_line(1.1, "endpoint_listed", endpoint="i-8"),
    log_line(2.0, "attempt_failed", request="other", endpoint="i-7"),
    log_line(3.0, "attempt_failed", request=REQUEST, endpoint="i-7"),
    log_line(
        3.1,
        "refused",
        request=REQUEST,
        reason="endpoint-lost",
        verdict="may-have-run",
        endpoint="i-7",
        attempts=1,
    ),
    log_line(3.5, "endpoint_gone", endpoint="i-7"),
]


@pytest.fixture
def write_log(tmp_path):
    def write_lines(lines, name="edge.log"):
        path = tmp_path / name
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    return write_lines


def trace(*paths, request=REQUEST):
    return traces.trace(
        log_reading.read(paths, log_reading.UnreadableLines()), request
    )


def test_a_refusal_for_load_shows_the_last_service_load(write_log):
    (request_trace,) = trace(write_log(REFUSED_LOG))
    assert request_trace.outcome == "refused"
    assert request_trace.cause.startswith("overloaded: ")
    assert request_trace.version == 3
    shown = [
        (each.line.event, each.is_deciding) for each in request_trace.lines
    ]
    assert shown == [
        ("configuration_in_force", False),
        ("service_load", False),
        ("refused", True),
        ("configuration_in_force", False),
    ]
    assert request_trace.lines[1].line.fields["limit"] == 60


def test_a_lost_answer_shows_other_failures_of_the_endpoint(write_log):
    (request_trace,) = trace(write_log(LOST_ANSWER_LOG))
    (deciding,) = [
        each.line for each in request_trace.lines if each.is_deciding
    ]
    assert deciding.event == "attempt_failed"
    assert "1 other attempts failed at i-7" in request_trace.cause
    endpoints = {
        each.line.fields.get("endpoint") for each in request_trace.lines
    }
    assert endpoints == {"i-7"}


def test_a_cancelled_request_shows_why_its_connection_has_ended(write_log):
    lines = [
        log_line(1.0, "attempt_failed", request=REQUEST, endpoint="i-7"),
        log_line(1.1, "attempt_repeated", request=REQUEST, endpoint="i-8"),
        log_line(
            2.0,
            "cancelled",
            request=REQUEST,
            detail="the caller reads too slowly",
        ),
    ]
    (request_trace,) = trace(write_log(lines))
    assert request_trace.outcome == "cancelled"
    assert request_trace.cause == "cancelled: the caller reads too slowly"


def test_events_are_grouped_by_entry_in_any_order(write_log):
    other = [line.replace("edge-1", "edge-2") for line in LOST_ANSWER_LOG]
    lines = list(reversed(REFUSED_LOG)) + other
    request_traces = trace(write_log(lines))
    assert [each.instance for each in request_traces] == ["edge-1", "edge-2"]


def test_the_offset_of_a_clock_that_is_ahead_is_shown(write_log):
    lines = [
        log_line(at + ahead, "configuration_in_force", name, version=version)
        for at, version in ((1.0, 1), (9.0, 2), (20.0, 3))
        for name, ahead in (("edge-1", 0.0), ("edge-2", 0.01), ("edge-3", 2.0))
    ]
    lines.append(log_line(22.0, "refused", "edge-3", request=REQUEST))
    (request_trace,) = trace(write_log(lines))
    assert request_trace.clock_ahead_s == pytest.approx(1.99)


def test_an_unknown_request_id_is_an_error(write_log):
    result = testing.CliRunner().invoke(
        cli.app, ["trace", "nobody", write_log(REFUSED_LOG)]
    )
    assert result.exit_code != 0
    assert "nobody" in str(result.exception)


def test_a_compressed_file_is_read_and_lines_without_events_are_counted(
    tmp_path,
):
    path = tmp_path / "edge.log.gz"
    lines = [
        "Traceback (most recent call last):",
        "  12.50 edge-1 " + REFUSED_LOG[3],
        '{"time": "now"}',
        "",
    ]
    path.write_bytes(gzip.compress("\n".join(lines).encode()))
    unreadable = log_reading.UnreadableLines()
    (event,) = log_reading.read([str(path)], unreadable)
    assert event.event == "refused"
    assert unreadable.count == 2


def test_the_commands_print_text_and_json(write_log):
    runner = testing.CliRunner()
    path = write_log(REFUSED_LOG + LOST_ANSWER_LOG)
    lost = write_log(LOST_ANSWER_LOG, "lost.log")
    shown = runner.invoke(cli.app, ["trace", REQUEST, lost]).output
    assert ">> 08:00:03.000 attempt_failed" in shown
    as_json = runner.invoke(cli.app, ["trace", REQUEST, lost, "--json"]).output
    assert json.loads(as_json)[0]["request"] == REQUEST
    table = runner.invoke(cli.app, ["log", "summary", path]).output
    assert "overloaded" in table
    counts = runner.invoke(cli.app, ["log", "summary", path, "--json"]).output
    failed = [each for each in json.loads(counts) if each["count"] == 2]
    assert "attempt_failed" in {each["event"] for each in failed}


def test_the_error_for_a_missing_file_names_the_file():
    result = testing.CliRunner().invoke(cli.app, ["trace", "id", "no-such.log"])
    assert result.exit_code != 0
    assert "no-such.log" in str(result.exception)
