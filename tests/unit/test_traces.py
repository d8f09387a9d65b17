"""What became of a request, told from the logs of several entries."""

import gzip
import json

import pytest
from typer import testing

from godwitdale import cli
from godwitdale_observe import log_reading
from godwitdale_observe import traces

REQUEST = "9c41d07be2a35f68"


def logged(at, event, instance="edge-1", **fields):
    """Returns a line as a collector hands it over."""
    line = {
        "time": f"2026-12-04 08:00:{at:06.3f}".replace(".", ","),
        "level": "INFO",
        "message": event,
        "instance": instance,
        **fields,
    }
    return json.dumps(line)


def load(at, **fields):
    return logged(at, "service_load", service="llm", running=72, **fields)


REFUSED = [
    logged(1.0, "configuration_in_force", version=3),
    load(4.5, limit=70),
    load(5.5, limit=60),
    logged(
        6.0,
        "refused",
        request=REQUEST,
        reason="overloaded",
        detail="10 requests wait, a place takes 0.016 s",
        attempts=0,
    ),
    logged(6.5, "configuration_in_force", version=4),
]
LOST = [
    logged(1.0, "endpoint_listed", endpoint="i-7"),
    logged(1.1, "endpoint_listed", endpoint="i-8"),
    logged(2.0, "attempt_failed", request="other", endpoint="i-7"),
    logged(3.0, "attempt_failed", request=REQUEST, endpoint="i-7"),
    logged(
        3.1,
        "refused",
        request=REQUEST,
        reason="endpoint-lost",
        verdict="may-have-run",
        endpoint="i-7",
        attempts=1,
    ),
    logged(3.5, "endpoint_gone", endpoint="i-7"),
]


@pytest.fixture
def write(tmp_path):
    def write_lines(lines, name="edge.log"):
        path = tmp_path / name
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    return write_lines


def tell(*paths, request=REQUEST):
    return traces.trace(
        log_reading.read(paths, log_reading.UnreadableLines()), request
    )


def test_a_refusal_for_load_shows_the_load_that_decided(write):
    (story,) = tell(write(REFUSED))
    assert story.outcome == "refused"
    assert story.cause.startswith("overloaded: ")
    assert story.version == 3
    shown = [(told.line.event, told.is_deciding) for told in story.lines]
    assert shown == [
        ("configuration_in_force", False),
        ("service_load", False),
        ("refused", True),
        ("configuration_in_force", False),
    ]
    assert story.lines[1].line.fields["limit"] == 60


def test_a_lost_answer_leads_to_the_endpoint_that_lost_others_too(write):
    (story,) = tell(write(LOST))
    (deciding,) = [told.line for told in story.lines if told.is_deciding]
    assert deciding.event == "attempt_failed"
    assert "1 other attempts failed at i-7" in story.cause
    endpoints = {told.line.fields.get("endpoint") for told in story.lines}
    assert endpoints == {"i-7"}


def test_lines_of_many_entries_may_come_in_any_order(write):
    other = [line.replace("edge-1", "edge-2") for line in LOST]
    lines = list(reversed(REFUSED)) + other
    found = tell(write(lines))
    assert [story.instance for story in found] == ["edge-1", "edge-2"]


def test_a_clock_that_is_ahead_is_shown(write):
    lines = [
        logged(at + ahead, "configuration_in_force", name, version=version)
        for at, version in ((1.0, 1), (9.0, 2), (20.0, 3))
        for name, ahead in (("edge-1", 0.0), ("edge-2", 0.01), ("edge-3", 2.0))
    ]
    lines.append(logged(22.0, "refused", "edge-3", request=REQUEST))
    (story,) = tell(write(lines))
    assert story.clock_ahead_s == pytest.approx(1.99)


def test_an_id_that_is_not_there_is_said_so(write):
    result = testing.CliRunner().invoke(
        cli.app, ["trace", "nobody", write(REFUSED)]
    )
    assert result.exit_code != 0
    assert "nobody" in str(result.exception)


def test_compressed_files_and_foreign_lines_are_read(tmp_path):
    path = tmp_path / "edge.log.gz"
    lines = [
        "Traceback (most recent call last):",
        "  12.50 edge-1 " + REFUSED[3],
        '{"time": "now"}',
        "",
    ]
    path.write_bytes(gzip.compress("\n".join(lines).encode()))
    unreadable = log_reading.UnreadableLines()
    (line,) = log_reading.read([str(path)], unreadable)
    assert line.event == "refused"
    assert unreadable.count == 2


def test_the_commands_print_for_people_and_for_programs(write):
    runner = testing.CliRunner()
    path = write(REFUSED + LOST)
    lost = write(LOST, "lost.log")
    shown = runner.invoke(cli.app, ["trace", REQUEST, lost]).output
    assert ">> 08:00:03.000 attempt_failed" in shown
    told = runner.invoke(cli.app, ["trace", REQUEST, lost, "--json"]).output
    assert json.loads(told)[0]["request"] == REQUEST
    table = runner.invoke(cli.app, ["log", "summary", path]).output
    assert "overloaded" in table
    counts = runner.invoke(cli.app, ["log", "summary", path, "--json"]).output
    failed = [each for each in json.loads(counts) if each["count"] == 2]
    assert "attempt_failed" in {each["event"] for each in failed}


def test_a_file_that_is_not_there_is_named():
    result = testing.CliRunner().invoke(cli.app, ["trace", "id", "no-such.log"])
    assert result.exit_code != 0
    assert "no-such.log" in str(result.exception)
