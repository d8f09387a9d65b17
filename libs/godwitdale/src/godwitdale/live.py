"""Asks a running entry where it would send a request."""

from typing import Any
import urllib.parse

import msgspec
import treq

from godwitdale import tables
from godwitdale_platform import bodies
from godwitdale_verdicts import exceptions

_TIMEOUT_S = 5.0
# About 10,000 endpoints.
_LIMITS = bodies.Limits(4 << 20, part_s=_TIMEOUT_S, total_s=_TIMEOUT_S)


async def fetch_explanation(
    url: str,
    host: str,
    path: str,
    account: str | None,
    prompt_tokens: int,
    clock: Any,
) -> dict[str, Any]:
    """Returns where an entry would send a request now.

    Args:
        url: Readiness address of the entry, as a URL.
        host: Host of the request.
        path: Path of the request.
        account: Name of the client account, or None.
        prompt_tokens: Length of the prompt.
        clock: A Twisted ``IReactorTime``.

    Raises:
        exceptions.PlatformUnavailableError: The entry did not answer.
    """
    values = {"host": host, "path": path, "prompt_tokens": str(prompt_tokens)}
    if account is not None:
        values["account"] = account
    query = urllib.parse.urlencode(values)
    try:
        response = await treq.get(
            f"{url.rstrip('/')}/explain?{query}", timeout=_TIMEOUT_S
        )
        body = await bodies.read(response, _LIMITS, clock)
        return msgspec.json.decode(body, type=dict[str, Any])
    except Exception as error:
        raise exceptions.PlatformUnavailableError(
            f"{url} does not explain: {error}"
        ) from error


def explanation_text(answer: dict[str, Any]) -> str:
    """Returns an explanation as text for people.

    Args:
        answer: The decoded answer of an entry.
    """
    if answer["route"] is None:
        return "no route matches"
    lines = [f"route {answer['route']}"]
    for each in answer["services"]:
        target = each["endpoint"] or "-"
        lines += [
            f"service {each['service']}: {each['decision']} {target}: "
            f"{each['detail']}",
            f"limit {each['limit']:g}, waiting {each['waiting']}, "
            f"free permits {each['free_permits']}",
            _endpoint_table(each["endpoints"]),
        ]
    return "\n".join(lines)


def _endpoint_table(endpoints: list[dict[str, Any]]) -> str:
    return tables.render(
        ("endpoint", "zone", "group", "in flight", "slots", "room", "notes"),
        (
            (
                each["endpoint"],
                each["zone"],
                each["group"],
                each["in_flight"],
                each["slots"],
                "-" if each["room"] is None else each["room"],
                ", ".join(
                    note
                    for note in ("home", "evacuated", "ejected")
                    if each[f"is_{note}"]
                ),
            )
            for each in endpoints
        ),
    )
