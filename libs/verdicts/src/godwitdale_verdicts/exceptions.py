"""Errors that are shown to an operator."""

import dataclasses


class GodwitdaleError(Exception):
    """Base of all errors that end a command.

    Attributes:
        exit_code: The exit status of a process that ends with this error.
    """

    exit_code = 1

    def __init__(self, message: str) -> None:
        """Creates the error.

        Args:
            message: What is wrong, where, and how to correct it.
        """
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Returns the text for standard error, without a trailing newline."""
        return f"Error: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One invalid value in a file.

    Attributes:
        path: Path of the value in the file, such as ``$.listen.port``.
        found: What the file contains there.
        expected: What would be valid.
    """

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}; expected {self.expected}"


class InvalidFileError(GodwitdaleError):
    """A settings file or a declaration file is invalid.

    Attributes:
        file: Name of the file, as the operator gave it.
        faults: All invalid values in the file.
    """

    exit_code = 2

    def __init__(self, file: str, faults: list[Fault]) -> None:
        super().__init__(f"{file} has {len(faults)} fault(s)")
        self.file = file
        self.faults = faults

    def format_message(self) -> str:
        """Returns one line for the file and one for each fault."""
        lines = [f"Error: {self.message}:"]
        lines += [f"  {fault}" for fault in self.faults]
        return "\n".join(lines)


class PlatformUnavailableError(GodwitdaleError):
    """A service of the platform did not answer, or not in time."""

    exit_code = 3


class RejectedError(GodwitdaleError):
    """The log contains the record, but the fold rejected it."""

    exit_code = 4


class NotInForceError(GodwitdaleError):
    """An accepted declaration is not yet in force everywhere."""

    exit_code = 5


class ViolationError(GodwitdaleError):
    """A check of a guarantee failed."""

    exit_code = 6
