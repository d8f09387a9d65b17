"""The daemons and the command line of godwitdale."""

__version__ = "0.1.0"
