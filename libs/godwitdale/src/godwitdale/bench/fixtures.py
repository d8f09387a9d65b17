"""Declarations of the clusters that the benchmarks run on."""

from godwitdale_declarations import objects

MODEL = "bench-llm"
ACCOUNT = "bench"
CHAT_PATH = "/v1/chat/completions"


def cluster_declarations(engines: int, apps: int) -> list[objects.Object]:
    """Returns declarations of an account, two kinds of work and endpoints.

    Args:
        engines: Number of engines, which serve drafts.
        apps: Number of apps, which serve bookings.
    """
    chat = objects.Condition("path", "equals", [CHAT_PATH])
    orders = objects.Condition("path", "prefix", ["/orders"])
    declarations: list[objects.Object] = [
        objects.Policy(),
        objects.Account(name=ACCOUNT),
        objects.Work(
            name="draft",
            service_class="draft",
            priority=0,
            deadline_s=10.0,
            timeout_s=60.0,
            repeatable=True,
            keys="ignored",
        ),
        objects.Work(
            name="booking",
            service_class="booking",
            priority=1,
            deadline_s=6.0,
            timeout_s=15.0,
            keys="required",
        ),
        objects.Selector(
            name="drafts",
            work="draft",
            when=[chat],
            endpoints=[objects.Condition("model", "equals", [MODEL])],
        ),
        objects.Selector(
            name="bookings",
            work="booking",
            when=[orders],
            endpoints=[objects.Condition("role", "equals", ["app"])],
        ),
    ]
    for number in range(1, engines + 1):
        labels = {"model": MODEL, "role": "engine"}
        declarations.append(
            objects.Endpoint(name=f"engine-{number}", labels=labels)
        )
    for number in range(1, apps + 1):
        declarations.append(
            objects.Endpoint(name=f"app-{number}", labels={"role": "app"})
        )
    return declarations
