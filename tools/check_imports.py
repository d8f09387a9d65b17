"""Checks that ``from`` imports import modules, not names.

Names may be imported from ``typing``, ``collections.abc`` and
``zope.interface``, as the style guide and zope's decorators expect.
"""

import ast
import importlib.util
import pathlib
import sys

_MODULE_LIKE_OBJECTS = {"twisted.internet.reactor"}
_EXEMPT_MODULES = {"typing", "collections.abc", "zope.interface", "__future__"}


def _is_module(package: str, name: str) -> bool:
    full_name = f"{package}.{name}"
    try:
        importlib.util.find_spec(full_name)
    except ModuleNotFoundError:
        return False
    except ValueError:  # The module has no ``__spec__``.
        return full_name in sys.modules
    if full_name in _MODULE_LIKE_OBJECTS:
        return True
    return importlib.util.find_spec(full_name) is not None


def find_violations(file: pathlib.Path) -> list[str]:
    """Returns a message for each imported name that is not a module.

    Args:
        file: The Python file to check.
    """
    violations = []
    for node in ast.walk(ast.parse(file.read_text())):
        if (
            not isinstance(node, ast.ImportFrom)
            or node.module in _EXEMPT_MODULES
        ):
            continue
        for alias in node.names:
            if not _is_module(node.module or "", alias.name):
                violations.append(
                    f"{file}:{node.lineno}: import the module of "
                    f"{node.module}.{alias.name}, not the name"
                )
    return violations


def main(folders: list[str]) -> int:
    """Prints all violations and returns the exit status.

    Args:
        folders: Folders to search for Python files.
    """
    violations = [
        violation
        for folder in folders
        for file in sorted(pathlib.Path(folder).rglob("*.py"))
        for violation in find_violations(file)
    ]
    print("\n".join(violations) or "imports: no violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
