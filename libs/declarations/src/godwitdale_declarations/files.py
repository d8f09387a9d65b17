"""Loading and validation of declaration files."""

from collections.abc import Mapping
from typing import Any

import msgspec

from godwitdale_declarations import documents
from godwitdale_declarations import objects
from godwitdale_verdicts import exceptions

_KINDS: dict[str, type] = {
    "account": objects.Account,
    "endpoint": objects.Endpoint,
    "work": objects.Work,
    "selector": objects.Selector,
    "group": objects.Group,
    "policy": objects.Policy,
    "evacuation": objects.Evacuation,
}
_REQUEST_ATTRIBUTES = ("path", "method", "model", "account", "time")
_REQUEST_PREFIXES = ("header:", "account-label:")


def load(file: str, data: bytes) -> list[objects.Object]:
    """Returns the objects of a declaration file.

    Args:
        file: Name of the file, for error messages.
        data: Contents of the file: ``{"schema": 1, "objects": [...]}``.

    Raises:
        exceptions.InvalidFileError: The file has faults; the error lists all
            that were found.
    """
    parsed = _parse_objects(file, data)
    faults: list[exceptions.Fault] = []
    for number, each in enumerate(parsed):
        faults += _find_object_faults(f"$.objects[{number}]", each)
    if faults:
        raise exceptions.InvalidFileError(file, faults)
    loaded = [msgspec.convert(each, objects.Object) for each in parsed]
    faults = _find_reference_faults(loaded)
    if faults:
        raise exceptions.InvalidFileError(file, faults)
    return loaded


def _parse_objects(file: str, data: bytes) -> list[Any]:
    document = documents.parse(file, data)
    if not isinstance(document, Mapping) or document.get("schema") != 1:
        fault = exceptions.Fault("$.schema", "no schema 1", '"schema": 1')
        raise exceptions.InvalidFileError(file, [fault])
    listed = document.get("objects")
    if not isinstance(listed, list):
        fault = exceptions.Fault("$.objects", repr(listed), "a list of objects")
        raise exceptions.InvalidFileError(file, [fault])
    return listed


def _find_object_faults(path: str, parsed: Any) -> list[exceptions.Fault]:
    kind = parsed.get("type") if isinstance(parsed, Mapping) else None
    if kind not in _KINDS:
        expected = "one of " + ", ".join(_KINDS)
        return [exceptions.Fault(f"{path}.type", repr(kind), expected)]
    return documents.find_faults(parsed, _KINDS[kind], path)


def _find_reference_faults(
    loaded: list[objects.Object],
) -> list[exceptions.Fault]:
    faults = []
    seen: set[str] = set()
    works = {each.name for each in loaded if isinstance(each, objects.Work)}
    for number, each in enumerate(loaded):
        path = f"$.objects[{number}]"
        key = objects.object_key(each)
        if key in seen:
            faults.append(
                exceptions.Fault(f"{path}.name", key, "each object once")
            )
        seen.add(key)
        if isinstance(each, objects.Selector):
            faults += _find_selector_faults(path, each, works)
    return faults


def _find_selector_faults(
    path: str, selector: objects.Selector, works: set[str]
) -> list[exceptions.Fault]:
    faults = []
    if selector.work not in works:
        expected = "a kind of work in this file: " + ", ".join(sorted(works))
        faults.append(
            exceptions.Fault(f"{path}.work", repr(selector.work), expected)
        )
    for number, condition in enumerate(selector.when):
        attribute = condition.attribute
        if attribute not in _REQUEST_ATTRIBUTES and not attribute.startswith(
            _REQUEST_PREFIXES
        ):
            faults.append(
                exceptions.Fault(
                    f"{path}.when[{number}].attribute",
                    repr(attribute),
                    "path, method, model, account, time, header:NAME or "
                    "account-label:NAME",
                )
            )
    return faults
