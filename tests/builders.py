"""Builders of declarations and request bodies for tests."""

from godwitdale_declarations import objects

CHAT_PATH = "/v1/chat/completions"
MODEL = "test-llm"


def condition(attribute, op, *values, negate=False):
    """Returns a condition of a selector."""
    return objects.Condition(
        attribute=attribute, op=op, values=list(values), negate=negate
    )


def declarations(engines=2, apps=2, keys="required", policy=None):
    """Returns declarations for engines and apps, with two accounts."""
    declared = [
        policy or objects.Policy(retry_share=1.0),
        objects.Account(name="mill", labels={"kind": "desk"}),
        objects.Account(name="buyer", labels={"kind": "buyer"}),
        objects.Work(
            name="draft",
            service_class="quote",
            priority=0,
            deadline_s=10.0,
            timeout_s=30.0,
            repeatable=True,
            keys="ignored",
        ),
        objects.Work(
            name="booking",
            service_class="booking",
            priority=1,
            deadline_s=6.0,
            timeout_s=15.0,
            keys=keys,
        ),
        objects.Selector(
            name="drafts",
            work="draft",
            when=[condition("path", "equals", CHAT_PATH)],
            endpoints=[condition("model", "equals", MODEL)],
        ),
        objects.Selector(
            name="bookings",
            work="booking",
            when=[condition("path", "prefix", "/orders")],
            endpoints=[condition("role", "equals", "app")],
        ),
    ]
    for number in range(1, engines + 1):
        labels = {"model": MODEL, "role": "engine"}
        declared.append(
            objects.Endpoint(name=f"engine-{number}", labels=labels)
        )
    for number in range(1, apps + 1):
        declared.append(
            objects.Endpoint(name=f"app-{number}", labels={"role": "app"})
        )
    return declared


def chat_body(text="hello", tokens=8, stream=True):
    """Returns the body of a chat completion request."""
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
        "max_tokens": tokens,
    }


GROUP = "experts"


def group_declarations(ranks=3, experts=12, slots=6, **weights):
    """Returns declarations of a group in which each rank has an agent."""
    group = objects.Group(
        name=GROUP,
        ranks=ranks,
        experts=experts,
        slots_per_rank=slots,
        decide_every_s=0.5,
        **weights,
    )
    endpoints = [
        objects.Endpoint(
            name=f"rank-{number}",
            labels={"group": GROUP, "rank": str(number)},
        )
        for number in range(ranks)
    ]
    work = objects.Work(name="any")
    selector = objects.Selector(
        name="ranks",
        work="any",
        endpoints=[condition("group", "equals", GROUP)],
    )
    return [objects.Policy(), group, work, selector, *endpoints]


def expert_loads(hot, experts=12):
    """Returns the load of each expert, 20 times as high for hot experts."""
    return [20.0 if number in hot else 1.0 for number in range(experts)]
