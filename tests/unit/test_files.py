"""Tests of settings and declaration files, and of their error messages."""

import json
import pathlib

import pytest

from godwitdale import settings
from godwitdale_declarations import files
from godwitdale_declarations import keys
from godwitdale_declarations import objects
from godwitdale_declarations import selectors
from godwitdale_declarations import view
from godwitdale_verdicts import exceptions

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
ENTRY = {
    "name": "entry-1",
    "zone": "z",
    "listen": {"host": "127.0.0.1", "port": 0},
    "admin": {"host": "127.0.0.1", "port": 0},
    "platform": {
        "log_url": "http://127.0.0.1:1",
        "instances_url": "http://127.0.0.1:2",
    },
}


def load_entry(tmp_path, **changes):
    file = tmp_path / "entry.json"
    file.write_text(json.dumps({**ENTRY, **changes}))
    return settings.load(file, settings.EntrySettings)


def test_shown_settings_include_defaults(tmp_path):
    shown = json.loads(settings.to_json(load_entry(tmp_path)))
    assert shown["link_budget"] == 150
    assert shown["heartbeat"]["interval_s"] == 1.0


def test_all_faults_of_a_settings_file_are_reported_together(tmp_path):
    with pytest.raises(exceptions.InvalidFileError) as caught:
        load_entry(
            tmp_path,
            listen={"host": "localhost", "port": 70_000},
            link_budged=3,
            most_attempts=0,
            peer_tls={"certificate": "/no/such", "key": "k"},
        )
    shown = caught.value.format_message()
    assert caught.value.exit_code == 2
    for part in (
        "$.listen.host: found 'localhost'; expected an IP address",
        "$.listen.port: found 70000",
        "$.link_budged: found unknown field",
        "$.most_attempts: found 0",
        "$.peer_tls.authority: found nothing",
        "$.peer_tls.certificate: found '/no/such'",
    ):
        assert part in shown


@pytest.mark.parametrize("text", ["", "{", "[]", '"x"'])
def test_settings_file_that_is_not_an_object_is_rejected(tmp_path, text):
    file = tmp_path / "bad.json"
    file.write_text(text)
    with pytest.raises(exceptions.InvalidFileError):
        settings.load(file, settings.AgentSettings)


@pytest.mark.parametrize("name", ["kelantan.json", "kochi.json"])
def test_examples_have_no_faults(name):
    assert files.load(name, (EXAMPLES / name).read_bytes())


def test_all_faults_of_a_declaration_file_are_reported_together():
    document = {
        "schema": 1,
        "objects": [
            {"type": "account", "name": "bad name"},
            {"type": "acount", "name": "a"},
            {"type": "work", "name": "w", "priority": 12, "deadline": 3},
        ],
    }
    with pytest.raises(exceptions.InvalidFileError) as caught:
        files.load("d.json", json.dumps(document).encode())
    paths = [fault.path for fault in caught.value.faults]
    assert paths == [
        "$.objects[0].name",
        "$.objects[1].type",
        "$.objects[2].deadline",
        "$.objects[2].priority",
    ]


def test_selector_must_name_declared_work_and_known_attributes():
    condition = {"attribute": "colour", "op": "exists"}
    selector = {
        "type": "selector",
        "name": "s",
        "work": "missing",
        "endpoints": [condition],
        "when": [condition],
    }
    document = {"schema": 1, "objects": [selector, selector]}
    with pytest.raises(exceptions.InvalidFileError) as caught:
        files.load("d.json", json.dumps(document).encode())
    paths = {fault.path for fault in caught.value.faults}
    assert "$.objects[0].work" in paths
    assert "$.objects[0].when[0].attribute" in paths
    assert "$.objects[1].name" in paths


def request(**changes):
    values = {
        "account": "desk",
        "account_labels": {"kind": "desk"},
        "method": "POST",
        "path": "/v1/chat/completions",
        "model": "m",
        "headers": {"x-task": "note"},
        "minute_of_day": 10 * 60,
    }
    return selectors.Request(**{**values, **changes})


@pytest.mark.parametrize(
    ("attribute", "op", "values", "negate", "holds"),
    [
        ("path", "equals", ["/v1/chat/completions"], False, True),
        ("path", "prefix", ["/v1/"], False, True),
        ("model", "in", ["x", "m"], False, True),
        ("account", "equals", ["desk"], True, False),
        ("header:X-Task", "exists", [], False, True),
        ("header:other", "exists", [], True, True),
        ("account-label:kind", "in", ["buyer"], False, False),
        ("time", "within", ["09:00-11:00"], False, True),
        ("time", "within", ["22:00-06:00"], False, False),
        ("time", "within", ["23:00-10:30"], False, True),
    ],
)
def test_condition_holds_for_request(attribute, op, values, negate, holds):
    condition = objects.Condition(attribute, op, values, negate)
    assert selectors.condition_holds(condition, request()) == holds


def test_matching_selector_with_highest_precedence_binds():
    endpoints = [objects.Condition("role", "exists")]
    low = objects.Selector(name="low", work="w", endpoints=endpoints)
    high = objects.Selector(
        name="high", work="w", endpoints=endpoints, precedence=5
    )
    not_matching = objects.Selector(
        name="not-matching",
        work="w",
        endpoints=endpoints,
        precedence=9,
        when=[objects.Condition("model", "equals", ["other"])],
    )
    ordered = selectors.sort_selectors([low, high, not_matching])
    assert selectors.bind(ordered, request()) == high
    reasons = {
        each.selector.name: each.reason
        for each in selectors.explain(ordered, request())
    }
    assert reasons["not-matching"] == "model equals other does not hold"
    assert "high comes first" in reasons["low"]


def test_both_keys_of_an_account_authenticate_and_no_other():
    first, declared_first = keys.generate("desk-1")
    second, declared_second = keys.generate("desk-2")
    account = objects.Account(
        name="desk", keys=[declared_first, declared_second]
    )
    index = view.View([account])
    assert index.authenticate(first) == account
    assert index.authenticate(second) == account
    assert index.authenticate(first + "x") is None
    assert index.authenticate("desk-1.") is None
    assert first not in str(account)
