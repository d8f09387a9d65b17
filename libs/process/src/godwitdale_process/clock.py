"""A clock for timers that jumps of the time of day do not touch."""

import time
from typing import Any


def boot_seconds() -> float:
    """Returns seconds since the machine booted, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_time(reactor: Any) -> None:
    """Makes a reactor's timers follow the boot clock.

    Twisted schedules by the time of day; a step of that clock would fire or
    starve every timer.

    Args:
        reactor: A Twisted reactor that has no timers yet.
    """
    reactor.seconds = boot_seconds
