"""Clock for timers that is not affected by changes of the system time."""

import time
from typing import Any


def boot_seconds() -> float:
    """Returns the seconds since the machine booted, with time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_time(reactor: Any) -> None:
    """Makes the timers of a reactor use the boot clock.

    Twisted schedules timers by the system time. If that time jumped forward,
    all timers would fire; if it jumped back, none would fire for a while.

    Args:
        reactor: A Twisted reactor without any timers yet.
    """
    reactor.seconds = boot_seconds
