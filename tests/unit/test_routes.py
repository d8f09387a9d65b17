"""Tests of routes: longest prefix, weights and repeatable requests."""

import random

import pytest

from godwitdale_routing import routes


def route(prefix, host="a.example", **fields):
    values = {
        "name": f"{host}{prefix}",
        "host": host,
        "path_prefix": prefix,
        "kind": routes.Kind.IDEMPOTENT,
        "weighted_services": (routes.WeightedService("app", 1.0),),
        "timeout_s": 2.0,
        "objective_s": 0.4,
    }
    return routes.Route(**{**values, **fields})


TABLE = routes.RouteTable(
    [route("/"), route("/a/"), route("/a/b/"), route("/x/", host="b.example")]
)


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("a.example", "/", "a.example/"),
        ("a.example", "/a/", "a.example/a/"),
        ("a.example", "/a", "a.example/"),
        ("a.example", "/a/b", "a.example/a/"),
        ("a.example", "/a/b/c/d", "a.example/a/b/"),
        ("A.Example:8080", "/a/1", "a.example/a/"),
        ("b.example", "/x/1", "b.example/x/"),
        ("b.example", "/a/1", None),
        ("c.example", "/a/1", None),
        ("", "/a/1", None),
    ],
)
def test_the_longest_prefix_of_the_host_is_found(host, path, found):
    result = TABLE.find(host, path)
    assert (result.name if result else None) == found


def test_traffic_is_split_by_weight():
    split = route(
        "/",
        weighted_services=(
            routes.WeightedService("old", 90.0),
            routes.WeightedService("new", 10.0),
        ),
    )
    rng = random.Random(1)
    picked = [split.pick_service(rng) for _ in range(2000)]
    assert 0.85 < picked.count("old") / len(picked) < 0.95


def test_a_service_without_weight_gets_no_traffic():
    split = route(
        "/",
        weighted_services=(
            routes.WeightedService("old", 0.0),
            routes.WeightedService("new", 1.0),
        ),
    )
    assert split.pick_service(random.Random(1)) == "new"


@pytest.mark.parametrize(
    ("kind", "is_resumable", "is_repeatable"),
    [
        (routes.Kind.IDEMPOTENT, False, True),
        (routes.Kind.NON_IDEMPOTENT, False, False),
        (routes.Kind.NON_IDEMPOTENT, True, False),
        (routes.Kind.STREAM, False, False),
        (routes.Kind.STREAM, True, True),
    ],
)
def test_the_kind_decides_whether_requests_are_repeatable(
    kind, is_resumable, is_repeatable
):
    found = route("/", kind=kind, is_resumable=is_resumable)
    assert found.is_repeatable is is_repeatable
