"""Whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    The values appear in the ``verdict`` member of a problem document and in
    the ``Godwitdale-Verdict`` header.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"
