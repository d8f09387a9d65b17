"""Configures Hypothesis, and expects the listed tests to fail.

Exactly the tests that ``KNOWN-RED.txt`` lists have to fail.

An entry begins with a line ``test: NODE-ID``. A listed test that passes, or
that a collected file does not contain, fails the run.
"""

import pathlib

import hypothesis
import pytest

_LIST_NAME = "KNOWN-RED.txt"
_TEST_PREFIX = "test: "

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


def _read_listed_tests(path: pathlib.Path) -> list[str]:
    if not path.exists():
        return []
    return [
        line.removeprefix(_TEST_PREFIX).strip()
        for line in path.read_text().splitlines()
        if line.startswith(_TEST_PREFIX)
    ]


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Marks the listed tests as strict expected failures."""
    items_by_id = {item.nodeid: item for item in items}
    collected_files = {item.nodeid.partition("::")[0] for item in items}
    selects_single_tests = any("::" in arg for arg in config.args)
    for node_id in _read_listed_tests(config.rootpath / _LIST_NAME):
        item = items_by_id.get(node_id)
        if item is not None:
            item.add_marker(
                pytest.mark.xfail(
                    reason=f"listed in {_LIST_NAME}",
                    raises=AssertionError,
                    strict=True,
                )
            )
        elif (
            node_id.partition("::")[0] in collected_files
            and not selects_single_tests
        ):
            raise pytest.UsageError(f"{_LIST_NAME}: no test {node_id}")
