"""Checks that modules are imported, not names.

Names may be imported from ``typing``, ``collections.abc`` and
``zope.interface``, as the style guide and zope's decorators expect.
"""

import ast
import importlib.util
import pathlib
import sys

_OBJECTS_LIKE_MODULES = {"twisted.internet.reactor"}
_EXEMPT = {"typing", "collections.abc", "zope.interface", "__future__"}


def _is_module(package: str, name: str) -> bool:
    full_name = f"{package}.{name}"
    try:
        importlib.util.find_spec(full_name)
    except ModuleNotFoundError:
        return False
    except ValueError:  # A module that hides how it was loaded.
        return full_name in sys.modules
    if full_name in _OBJECTS_LIKE_MODULES:
        return True
    return importlib.util.find_spec(full_name) is not None


def faults_of(file: pathlib.Path) -> list[str]:
    """Returns a line for each name that a file imports.

    Args:
        file: A Python file.
    """
    found = []
    for node in ast.walk(ast.parse(file.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module in _EXEMPT:
            continue
        for alias in node.names:
            if not _is_module(node.module or "", alias.name):
                found.append(
                    f"{file}:{node.lineno}: import the module of "
                    f"{node.module}.{alias.name}, not the name"
                )
    return found


def main(folders: list[str]) -> int:
    """Prints all faults and returns the exit status.

    Args:
        folders: Folders to search.
    """
    found = [
        fault
        for folder in folders
        for file in sorted(pathlib.Path(folder).rglob("*.py"))
        for fault in faults_of(file)
    ]
    print("\n".join(found) or "imports: no faults")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
