"""Validation of JSON documents against ``msgspec`` types.

All faults of a document are reported together.
"""

from collections.abc import Mapping
import types
from typing import Any
from typing import Union
from typing import get_args
from typing import get_origin

import msgspec

from godwitdale_verdicts import decoding
from godwitdale_verdicts import exceptions

_MAX_SHOWN_CHARS = 60
_document_decoder = decoding.json_decoder(
    Any, max_depth=decoding.MAX_RECORD_DEPTH
)


def parse(file: str, data: bytes) -> Any:
    """Returns the parsed JSON of a file.

    Args:
        file: Name of the file, for error messages.
        data: Contents of the file.

    Raises:
        exceptions.InvalidFileError: The contents are not JSON.
    """
    try:
        return _document_decoder.decode(data)
    except decoding.InvalidDataError as error:
        fault = exceptions.Fault("$", str(error), "a JSON document")
        raise exceptions.InvalidFileError(file, [fault]) from error


def convert(file: str, document: Any, expected: Any) -> Any:
    """Converts a parsed document to a type.

    Args:
        file: Name of the file, for error messages.
        document: The parsed document.
        expected: A ``msgspec.Struct`` type.

    Raises:
        exceptions.InvalidFileError: The document does not match the type.
    """
    faults = find_faults(document, expected, "$")
    if faults:
        raise exceptions.InvalidFileError(file, faults)
    return msgspec.convert(document, expected)


def find_faults(value: Any, expected: Any, path: str) -> list[exceptions.Fault]:
    """Returns all faults of a value that is to be of a type.

    Args:
        value: The parsed value.
        expected: A type that ``msgspec.convert`` supports.
        path: Path of the value in the document, such as ``$.listen``.
    """
    struct = _struct_type(expected)
    if struct is not None and isinstance(value, Mapping):
        return _find_struct_faults(value, struct, path)
    if get_origin(expected) is list and isinstance(value, list):
        (item,) = get_args(expected)
        faults = []
        for number, each in enumerate(value):
            faults += find_faults(each, item, f"{path}[{number}]")
        return faults
    return _find_value_faults(value, expected, path)


def _struct_type(expected: Any) -> type[msgspec.Struct] | None:
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


def _find_struct_faults(
    value: Mapping[str, Any], struct: type[msgspec.Struct], path: str
) -> list[exceptions.Fault]:
    faults = []
    fields = {each.encode_name: each for each in msgspec.structs.fields(struct)}
    tag_field = struct.__struct_config__.tag_field
    for name in value:
        if name not in fields and name != tag_field:
            expected = "one of " + ", ".join(fields)
            faults.append(
                exceptions.Fault(f"{path}.{name}", "unknown field", expected)
            )
    for name, field in fields.items():
        if name in value:
            faults += find_faults(value[name], field.type, f"{path}.{name}")
        elif field.required:
            faults.append(
                exceptions.Fault(f"{path}.{name}", "nothing", "this field")
            )
    return faults


def _find_value_faults(
    value: Any, expected: Any, path: str
) -> list[exceptions.Fault]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(" - at ")
        inner_path = location.strip("`").removeprefix("$")
        shown = repr(value)
        if len(shown) > _MAX_SHOWN_CHARS:
            shown = shown[:_MAX_SHOWN_CHARS] + "..."
        return [exceptions.Fault(path + inner_path, shown, message)]
    return []
