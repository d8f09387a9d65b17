"""Explains the outcome of a request from the logs of the entries."""

import bisect
import collections
from collections.abc import Iterable
import dataclasses
import statistics
from typing import Any

from godwitdale_observe import log_reading
from godwitdale_verdicts import outcomes

# A trace also shows events of the instance from this long before the deciding
# event until this long after the last event of the request.
_CONTEXT_BEFORE_S = 5.0
_CONTEXT_AFTER_S = 1.0
# Changes of the list of endpoints. They are shown for the endpoints that the
# request was sent to.
_ENDPOINT_LIST_EVENTS = frozenset({"endpoint_listed", "endpoint_gone"})
# Events of the instance that may explain the outcome of a request.
_CONTEXT_EVENTS = frozenset(
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
_CONFIGURATION_IN_FORCE = "configuration_in_force"
_SERVICE_LOAD = "service_load"
_ATTEMPT_FAILED = "attempt_failed"
_REFUSED = "refused"
_CANCELLED = "cancelled"
_FINAL_EVENTS = (_REFUSED, _CANCELLED, "answered")
_EXPLANATIONS = {
    outcomes.Reason.OVERLOADED: (
        "the service had too little free capacity to answer in time; see the "
        "load of the service"
    ),
    outcomes.Reason.NO_ENDPOINT: (
        "the service had no listed endpoint that accepted requests"
    ),
    outcomes.Reason.ENDPOINT_LOST: (
        "the endpoint could not be connected to, or its answer did not arrive "
        "complete"
    ),
    outcomes.Reason.ENDPOINT_FAILED: "the endpoint answered with a failure",
    outcomes.Reason.DEADLINE: "the time limit of the caller or route expired",
    outcomes.Reason.STALE: (
        "the configuration was missing or could not be confirmed; see when the "
        "store was lost"
    ),
    outcomes.Reason.NOT_FOUND: "no route of the host matches the path",
    outcomes.Reason.UNAUTHENTICATED: "no account in force has the key",
    outcomes.Reason.DRAINING: "the entry was about to stop",
}
_NO_EXPLANATION = "see its detail"


@dataclasses.dataclass(frozen=True, slots=True)
class TraceEvent:
    """An event in the trace of a request.

    Attributes:
        line: The logged event.
        is_own: Whether the event belongs to the request itself.
        is_deciding: Whether the event decided the outcome of the request.
    """

    line: log_reading.LogEvent
    is_own: bool
    is_deciding: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """Events and outcome of a request at one entry.

    Attributes:
        request: Id of the request.
        instance: Name of the entry that handled it.
        lines: Events of the request and of the instance, ordered by the time
            that the instance logged.
        outcome: Name of the last event of the request.
        cause: Text that explains the outcome.
        version: Version of the configuration that was in force, or None if it
            was not logged.
        clock_ahead_s: Time by which the clock of the instance was ahead of the
            other instances, or None if the logs do not show it.
    """

    request: str
    instance: str
    lines: tuple[TraceEvent, ...]
    outcome: str
    cause: str
    version: int | None
    clock_ahead_s: float | None


def trace(
    events: Iterable[log_reading.LogEvent], request_id: str
) -> list[RequestTrace]:
    """Returns a trace of a request for each entry that logged it.

    Args:
        events: Events of any number of instances, in any order.
        request_id: Id of the request, or an unambiguous prefix of it.
    """
    by_instance: dict[str, list[log_reading.LogEvent]] = (
        collections.defaultdict(list)
    )
    for event in events:
        by_instance[event.instance].append(event)
    for instance_events in by_instance.values():
        instance_events.sort(key=lambda event: event.at_s)
    offsets_s = clock_offsets(by_instance)
    return [
        _build_trace(
            request_id, instance, instance_events, offsets_s.get(instance)
        )
        for instance, instance_events in sorted(by_instance.items())
        if any(_belongs_to(event, request_id) for event in instance_events)
    ]


def clock_offsets(
    by_instance: dict[str, list[log_reading.LogEvent]],
) -> dict[str, float]:
    """Returns the time by which each instance's clock is ahead, in seconds.

    All entries receive a configuration within a fraction of a second. The times
    at which they log it therefore differ only by that fraction and by the
    offsets of their clocks.

    Args:
        by_instance: Events by the name of their instance.
    """
    times_by_version: dict[Any, dict[str, float]] = collections.defaultdict(
        dict
    )
    for instance, events in by_instance.items():
        for event in events:
            if event.event == _CONFIGURATION_IN_FORCE:
                times_by_version[event.fields.get("version")].setdefault(
                    instance, event.at_s
                )
    differences: dict[str, list[float]] = collections.defaultdict(list)
    for times_s in times_by_version.values():
        if len(times_s) > 1:
            median_s = statistics.median(times_s.values())
            for instance, at_s in times_s.items():
                differences[instance].append(at_s - median_s)
    return {
        instance: round(statistics.median(differences_s), 3)
        for instance, differences_s in differences.items()
    }


@dataclasses.dataclass(frozen=True, slots=True)
class EventCount:
    """Number of events with the same name and reason.

    Attributes:
        event: Name of the event.
        reason: Its reason, or an empty text.
        count: Number of events.
        instances: Number of instances that logged it.
        first: Request or endpoint of the first such event, or an empty text.
    """

    event: str
    reason: str
    count: int
    instances: int
    first: str


def summarize(events: Iterable[log_reading.LogEvent]) -> list[EventCount]:
    """Counts the events by name and reason, the most frequent first.

    Args:
        events: Events of any number of instances.
    """
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    instances: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
    examples: dict[tuple[str, str], str] = {}
    for event in events:
        key = (event.event, str(event.fields.get("reason", "")))
        counts[key] += 1
        instances[key].add(event.instance)
        example = event.fields.get("request") or event.fields.get("endpoint")
        if example:
            examples.setdefault(key, str(example))
    return [
        EventCount(*key, count, len(instances[key]), examples.get(key, ""))
        for key, count in counts.most_common()
    ]


def _belongs_to(event: log_reading.LogEvent, request_id: str) -> bool:
    return str(event.fields.get("request", "")).startswith(request_id)


def _build_trace(
    request_id: str,
    instance: str,
    events: list[log_reading.LogEvent],
    clock_ahead_s: float | None,
) -> RequestTrace:
    request_events = [
        event for event in events if _belongs_to(event, request_id)
    ]
    last_event = request_events[-1]
    deciding = _deciding_event(request_events)
    attempted = {event.fields.get("endpoint") for event in request_events} - {
        None
    }
    shown = [
        event
        for event in _events_between(
            events,
            deciding.at_s - _CONTEXT_BEFORE_S,
            last_event.at_s + _CONTEXT_AFTER_S,
        )
        if event.event in _CONTEXT_EVENTS
        or _belongs_to(event, request_id)
        or (
            event.event in _ENDPOINT_LIST_EVENTS
            and event.fields.get("endpoint") in attempted
        )
    ]
    load = _last_before(events, _SERVICE_LOAD, deciding.at_s)
    if load is not None and deciding.event == _REFUSED:
        shown.append(load)
    configuration = _last_before(events, _CONFIGURATION_IN_FORCE, deciding.at_s)
    shown.sort(key=lambda event: event.at_s)
    return RequestTrace(
        request=str(last_event.fields.get("request", request_id)),
        instance=instance,
        lines=tuple(
            TraceEvent(event, _belongs_to(event, request_id), event is deciding)
            for event in shown
        ),
        outcome=last_event.event,
        cause=_explain(request_events, deciding, events),
        version=configuration.fields.get("version") if configuration else None,
        clock_ahead_s=clock_ahead_s,
    )


def _deciding_event(
    request_events: list[log_reading.LogEvent],
) -> log_reading.LogEvent:
    """Returns the event that decided the outcome.

    This is the last failed attempt if the request was refused after attempts,
    and the last event of the request otherwise.
    """
    last_event = request_events[-1]
    if last_event.event == _REFUSED and last_event.fields.get("attempts"):
        failed = [
            event for event in request_events if event.event == _ATTEMPT_FAILED
        ]
        if failed:
            return failed[-1]
    return last_event


def _explain(
    request_events: list[log_reading.LogEvent],
    deciding: log_reading.LogEvent,
    events: list[log_reading.LogEvent],
) -> str:
    last_event = request_events[-1]
    if last_event.event not in _FINAL_EVENTS:
        return "the logs do not contain the end of the request"
    if last_event.event == _CANCELLED:
        return f"cancelled: {last_event.fields.get('detail', '')}"
    if last_event.event != _REFUSED:
        failed = sum(event.event == _ATTEMPT_FAILED for event in request_events)
        return f"answered, after {failed} failed attempts"
    explanation = _explain_reason(str(last_event.fields.get("reason", "")))
    endpoint = deciding.fields.get("endpoint")
    if endpoint is None:
        return explanation
    others = sum(
        event.event == _ATTEMPT_FAILED
        and event.fields.get("endpoint") == endpoint
        and event is not deciding
        for event in _events_between(
            events,
            deciding.at_s - _CONTEXT_BEFORE_S,
            deciding.at_s + _CONTEXT_AFTER_S,
        )
    )
    return (
        f"{explanation}; {others} other attempts failed at {endpoint} at about "
        "the same time"
    )


def _explain_reason(value: str) -> str:
    try:
        reason = outcomes.Reason(value)
    except ValueError:  # Logged by a version with other reasons.
        return f"{value}: {_NO_EXPLANATION}"
    return f"{value}: {_EXPLANATIONS.get(reason, _NO_EXPLANATION)}"


def _events_between(
    events: list[log_reading.LogEvent], from_s: float, to_s: float
) -> list[log_reading.LogEvent]:
    begin = bisect.bisect_left(events, from_s, key=lambda event: event.at_s)
    end = bisect.bisect_right(events, to_s, key=lambda event: event.at_s)
    return events[begin:end]


def _last_before(
    events: list[log_reading.LogEvent], name: str, at_s: float
) -> log_reading.LogEvent | None:
    end = bisect.bisect_right(events, at_s, key=lambda event: event.at_s)
    return next(
        (event for event in reversed(events[:end]) if event.event == name), None
    )
