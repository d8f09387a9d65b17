"""Tells from logs what became of a request, and why."""

import bisect
import collections
from collections.abc import Iterable
import dataclasses
import statistics
from typing import Any

from godwitdale_observe import log_reading
from godwitdale_verdicts import outcomes

# What happened on the instance this long before the deciding event, and after
# it, is shown beside the request's own events.
_BEFORE_S = 5.0
_AFTER_S = 1.0
# Changes of the list of endpoints, of interest for those that were asked.
_LISTED = frozenset({"endpoint_listed", "endpoint_gone"})
# Events of the instance that may explain an answer of a request.
_CONTEXT = frozenset(
    {
        "started",
        "draining",
        "cut",
        "store_lost",
        "store_reached",
        "configuration_in_force",
        "configuration_unreadable",
        "peer_silent",
        "experts_change",
        "experts_taken_over",
        "experts_freed",
        "lines_left_out",
    }
)
_CONFIGURED = "configuration_in_force"
_LOAD = "service_load"
_FAILED = "attempt_failed"
_REFUSED = "refused"
_ENDS = (_REFUSED, "answered")
# What a reason means to somebody who looks for the cause.
_MEANINGS = {
    outcomes.Reason.OVERLOADED: (
        "no place would have become free in time; see the load of the service"
    ),
    outcomes.Reason.NO_ENDPOINT: (
        "no endpoint of the service was listed and took work"
    ),
    outcomes.Reason.ENDPOINT_LOST: (
        "the endpoint's connection broke after the request had been sent"
    ),
    outcomes.Reason.ENDPOINT_FAILED: "the endpoint sent what is no answer",
    outcomes.Reason.DEADLINE: "the caller's or the route's time was over",
    outcomes.Reason.STALE: (
        "the keys could not be confirmed; see when the store was lost"
    ),
    outcomes.Reason.NOT_FOUND: "no route of that host begins the path",
    outcomes.Reason.UNAUTHENTICATED: "no account in force holds the key",
    outcomes.Reason.DRAINING: "the entry was about to stop",
}
_UNEXPLAINED = "see its detail"


@dataclasses.dataclass(frozen=True, slots=True)
class TraceEvent:
    """A line of a story.

    Attributes:
        line: The event.
        is_own: Whether it is of the request itself.
        is_deciding: Whether it decided what became of the request.
    """

    line: log_reading.LogEvent
    is_own: bool
    is_deciding: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """What became of a request.

    Attributes:
        request: Its id.
        instance: The entry that had it.
        lines: Its events and those around it, in the order of that clock.
        outcome: Name of its last event.
        cause: What decided, in words.
        version: Configuration then in force there, or None if not logged.
        clock_ahead_s: By how much that instance's clock was ahead of the
            others', or None where nothing tells.
    """

    request: str
    instance: str
    lines: tuple[TraceEvent, ...]
    outcome: str
    cause: str
    version: int | None
    clock_ahead_s: float | None


def trace(
    lines: Iterable[log_reading.LogEvent], request: str
) -> list[RequestTrace]:
    """Returns the story of a request at each entry that saw it.

    Args:
        lines: Events of any number of instances, in any order.
        request: The id, or an unambiguous beginning of it.
    """
    by_instance: dict[str, list[log_reading.LogEvent]] = (
        collections.defaultdict(list)
    )
    for line in lines:
        by_instance[line.instance].append(line)
    for known in by_instance.values():
        known.sort(key=lambda line: line.at_s)
    ahead = clock_offsets(by_instance)
    return [
        _story(request, instance, known, ahead.get(instance))
        for instance, known in sorted(by_instance.items())
        if any(_is_of(line, request) for line in known)
    ]


def clock_offsets(
    by_instance: dict[str, list[log_reading.LogEvent]],
) -> dict[str, float]:
    """Returns by how much the clock of each instance is ahead, in seconds.

    All entries learn of a configuration within a fraction of a second, so that
    the times at which they log it differ by that and by their clocks.

    Args:
        by_instance: Events by instance.
    """
    learnt: dict[Any, dict[str, float]] = collections.defaultdict(dict)
    for instance, lines in by_instance.items():
        for line in lines:
            if line.event == _CONFIGURED:
                learnt[line.fields.get("version")].setdefault(
                    instance, line.at_s
                )
    differences: dict[str, list[float]] = collections.defaultdict(list)
    for moments in learnt.values():
        if len(moments) > 1:
            middle_s = statistics.median(moments.values())
            for instance, at_s in moments.items():
                differences[instance].append(at_s - middle_s)
    return {
        instance: round(statistics.median(found), 3)
        for instance, found in differences.items()
    }


@dataclasses.dataclass(frozen=True, slots=True)
class EventCount:
    """How often something happened.

    Attributes:
        event: Name of the event.
        reason: Its reason, or an empty text.
        count: How often.
        instances: Instances that logged it.
        first: One request or endpoint that it happened to.
    """

    event: str
    reason: str
    count: int
    instances: int
    first: str


def summarize(lines: Iterable[log_reading.LogEvent]) -> list[EventCount]:
    """Returns how often each event was logged for each reason.

    Args:
        lines: Events of any number of instances.
    """
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    instances: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
    firsts: dict[tuple[str, str], str] = {}
    for line in lines:
        key = (line.event, str(line.fields.get("reason", "")))
        counts[key] += 1
        instances[key].add(line.instance)
        concerned = line.fields.get("request") or line.fields.get("endpoint")
        if concerned:
            firsts.setdefault(key, str(concerned))
    return [
        EventCount(*key, count, len(instances[key]), firsts.get(key, ""))
        for key, count in counts.most_common()
    ]


def _is_of(line: log_reading.LogEvent, request: str) -> bool:
    return str(line.fields.get("request", "")).startswith(request)


def _story(
    request: str,
    instance: str,
    lines: list[log_reading.LogEvent],
    ahead_s: float | None,
) -> RequestTrace:
    own = [line for line in lines if _is_of(line, request)]
    end = own[-1]
    deciding = _deciding(own)
    asked = {line.fields.get("endpoint") for line in own} - {None}
    around = [
        line
        for line in _between(
            lines, deciding.at_s - _BEFORE_S, end.at_s + _AFTER_S
        )
        if line.event in _CONTEXT
        or _is_of(line, request)
        or (line.event in _LISTED and line.fields.get("endpoint") in asked)
    ]
    load = _last(lines, _LOAD, deciding.at_s)
    if load is not None and deciding.event == _REFUSED:
        around.append(load)
    configured = _last(lines, _CONFIGURED, deciding.at_s)
    around.sort(key=lambda line: line.at_s)
    return RequestTrace(
        request=str(end.fields.get("request", request)),
        instance=instance,
        lines=tuple(
            TraceEvent(line, _is_of(line, request), line is deciding)
            for line in around
        ),
        outcome=end.event,
        cause=_cause(own, deciding, lines),
        version=configured.fields.get("version") if configured else None,
        clock_ahead_s=ahead_s,
    )


def _deciding(own: list[log_reading.LogEvent]) -> log_reading.LogEvent:
    """Returns the event that decided: the failure before a doubtful end."""
    end = own[-1]
    if end.event == _REFUSED and end.fields.get("attempts"):
        failed = [line for line in own if line.event == _FAILED]
        if failed:
            return failed[-1]
    return end


def _cause(
    own: list[log_reading.LogEvent],
    deciding: log_reading.LogEvent,
    lines: list[log_reading.LogEvent],
) -> str:
    end = own[-1]
    if end.event not in _ENDS:
        return "its end is not in these logs"
    if end.event != _REFUSED:
        failed = sum(line.event == _FAILED for line in own)
        return f"answered, after {failed} failed attempts"
    told = _meaning(str(end.fields.get("reason", "")))
    endpoint = deciding.fields.get("endpoint")
    if endpoint is None:
        return told
    others = sum(
        line.event == _FAILED
        and line.fields.get("endpoint") == endpoint
        and line is not deciding
        for line in _between(
            lines, deciding.at_s - _BEFORE_S, deciding.at_s + _AFTER_S
        )
    )
    return f"{told}; {others} other attempts failed at {endpoint} then"


def _meaning(value: str) -> str:
    try:
        reason = outcomes.Reason(value)
    except ValueError:  # Written by another version.
        return f"{value}: {_UNEXPLAINED}"
    return f"{value}: {_MEANINGS.get(reason, _UNEXPLAINED)}"


def _between(
    lines: list[log_reading.LogEvent], from_s: float, to_s: float
) -> list[log_reading.LogEvent]:
    begin = bisect.bisect_left(lines, from_s, key=lambda line: line.at_s)
    end = bisect.bisect_right(lines, to_s, key=lambda line: line.at_s)
    return lines[begin:end]


def _last(
    lines: list[log_reading.LogEvent], event: str, at_s: float
) -> log_reading.LogEvent | None:
    end = bisect.bisect_right(lines, at_s, key=lambda line: line.at_s)
    return next(
        (line for line in reversed(lines[:end]) if line.event == event), None
    )
