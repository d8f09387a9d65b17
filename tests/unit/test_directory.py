"""Tests of endpoints that leave, restart, and whose records get lost."""

import dataclasses

import pytest

from godwitdale_gateway import directory as directory_lib
from godwitdale_http import pool

ENDPOINT = directory_lib.Endpoint(
    "e0", "llm", pool.Address("127.0.0.1", 1), "z", 4, False, 1000, 5
)


@pytest.fixture
def out_of_service():
    return []


@pytest.fixture
def directory(out_of_service):
    directory = directory_lib.Directory(out_of_service.append)
    directory.put(ENDPOINT, 10.0)
    return directory


def ids_in_service(directory):
    return [each.endpoint.id for each in directory.of_service("llm")]


def test_endpoint_that_states_to_leave_gets_no_new_requests(
    directory, out_of_service
):
    assert directory.mark_leaving(ENDPOINT, 11.0)
    assert not directory.mark_leaving(ENDPOINT, 12.0)
    assert ids_in_service(directory) == []
    assert directory.candidates("llm", set(), 11.0) == []
    assert out_of_service == ["e0"]


@pytest.mark.parametrize("state", ["updated", "removed", "lapsed"])
def test_leaving_outlasts_the_record_of_the_endpoint(directory, state):
    """Guards against requests to endpoints that leave during an outage."""
    directory.mark_leaving(ENDPOINT, 11.0)
    if state == "removed":
        directory.remove("e0")
    elif state == "lapsed":
        directory.mark_lapsed("e0", 12.0)
        directory.expire(15.0)
    directory.put(dataclasses.replace(ENDPOINT, update_count=9), 16.0)
    assert ids_in_service(directory) == []


@pytest.mark.parametrize(
    "successor",
    [
        dataclasses.replace(ENDPOINT, started_ms=2000, update_count=5),
        dataclasses.replace(ENDPOINT, started_ms=0, update_count=1),
    ],
)
def test_next_incarnation_under_the_same_id_is_used(directory, successor):
    record = directory.get("e0")
    record.stats.in_flight = 3
    directory.mark_leaving(ENDPOINT, 11.0)
    directory.put(successor, 12.0)
    assert ids_in_service(directory) == ["e0"]
    assert directory.get("e0") is not record
    assert directory.get("e0").stats.in_flight == 0


def test_report_about_an_earlier_incarnation_is_ignored(directory):
    directory.put(dataclasses.replace(ENDPOINT, started_ms=2000), 20.0)
    assert not directory.mark_leaving(ENDPOINT, 19.0)
    assert ids_in_service(directory) == ["e0"]


def test_endpoint_that_leaves_while_its_record_is_missing_stays_out(directory):
    directory.remove("e0")
    assert directory.mark_leaving(ENDPOINT, 11.0)
    assert directory.leaving_ids() == set()
    directory.put(ENDPOINT, 12.0)
    assert ids_in_service(directory) == []
    assert directory.leaving_ids() == {"e0"}
