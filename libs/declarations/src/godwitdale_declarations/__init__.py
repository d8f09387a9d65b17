"""Objects that operators declare, selectors, and the fold of their log."""

from godwitdale_declarations import documents
from godwitdale_declarations import files
from godwitdale_declarations import fold
from godwitdale_declarations import keys
from godwitdale_declarations import objects
from godwitdale_declarations import records
from godwitdale_declarations import selectors
from godwitdale_declarations import view

__all__ = [
    "documents",
    "files",
    "fold",
    "keys",
    "objects",
    "records",
    "selectors",
    "view",
]
