"""Checking of JSON documents against ``msgspec`` types, all faults at once."""

from collections.abc import Mapping
import types
from typing import Any
from typing import Union
from typing import get_args
from typing import get_origin

import msgspec

from godwitdale_verdicts import exceptions

_MOST_SHOWN = 60


def parse(file: str, data: bytes) -> Any:
    """Reads JSON.

    Args:
        file: Name of the file, for messages.
        data: Its contents.

    Raises:
        exceptions.InvalidFileError: It is not JSON.
    """
    try:
        return msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        fault = exceptions.Fault("$", str(error), "a JSON document")
        raise exceptions.InvalidFileError(file, [fault]) from error


def convert(file: str, document: Any, expected: Any) -> Any:
    """Converts a document to a type.

    Args:
        file: Name of the file, for messages.
        document: What was read.
        expected: A ``msgspec.Struct`` type.

    Raises:
        exceptions.InvalidFileError: Something is wrong with it.
    """
    faults = find_faults(document, expected, "$")
    if faults:
        raise exceptions.InvalidFileError(file, faults)
    return msgspec.convert(document, expected)


def find_faults(value: Any, expected: Any, path: str) -> list[exceptions.Fault]:
    """Returns everything that keeps a value from being of a type.

    Args:
        value: What was read.
        expected: A type that ``msgspec.convert`` understands.
        path: Where the value stands, such as ``$.listen``.
    """
    struct = _struct_of(expected)
    if struct is not None and isinstance(value, Mapping):
        return _struct_faults(value, struct, path)
    if get_origin(expected) is list and isinstance(value, list):
        (item,) = get_args(expected)
        found = []
        for number, each in enumerate(value):
            found += find_faults(each, item, f"{path}[{number}]")
        return found
    return _plain_faults(value, expected, path)


def _struct_of(expected: Any) -> type[msgspec.Struct] | None:
    if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
        return expected
    if get_origin(expected) in (Union, types.UnionType):
        structs = [
            each
            for each in get_args(expected)
            if isinstance(each, type) and issubclass(each, msgspec.Struct)
        ]
        if len(structs) == 1:
            return structs[0]
    return None


def _struct_faults(
    value: Mapping[str, Any], struct: type[msgspec.Struct], path: str
) -> list[exceptions.Fault]:
    found = []
    fields = {each.encode_name: each for each in msgspec.structs.fields(struct)}
    tag_field = struct.__struct_config__.tag_field
    for name in value:
        if name not in fields and name != tag_field:
            expected = "one of " + ", ".join(fields)
            found.append(
                exceptions.Fault(f"{path}.{name}", "unknown field", expected)
            )
    for name, field in fields.items():
        if name in value:
            found += find_faults(value[name], field.type, f"{path}.{name}")
        elif field.required:
            found.append(
                exceptions.Fault(f"{path}.{name}", "nothing", "this field")
            )
    return found


def _plain_faults(
    value: Any, expected: Any, path: str
) -> list[exceptions.Fault]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        message, _, where = str(error).partition(" - at ")
        inner = where.strip("`").removeprefix("$")
        shown = repr(value)
        if len(shown) > _MOST_SHOWN:
            shown = shown[:_MOST_SHOWN] + "..."
        return [exceptions.Fault(path + inner, shown, message)]
    return []
