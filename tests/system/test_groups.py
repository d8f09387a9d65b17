"""One expert map a step, while agents, ranks and the log fail.

The group's stand-in records the map of every rank in every step.
"""

import time

import pytest

import builders
from godwitdale import http_client
from godwitdale import testing

RANKS = 3
STREAM = f"group-{builders.GROUP}"


@pytest.fixture
def cluster(tmp_path):
    config = testing.ClusterConfig(
        declarations=builders.group_declarations(RANKS, skew_weight=50.0),
        entry_count=1,
    )
    with testing.Cluster(config, tmp_path) as started:
        yield started


def group_records(cluster):
    return cluster.fetch_records(STREAM)


def heat(cluster, hot, **faults):
    cluster.set_faults(STREAM, load=builders.expert_loads(hot), **faults)


def maps_used(cluster):
    return sorted({step[0] for step in group_records(cluster)["maps"]})


def assert_one_map_a_step(cluster):
    for step in group_records(cluster)["maps"]:
        assert len(set(step)) == 1


def wait_for_switches(cluster, count, within_s=40):
    cluster.wait_until(
        lambda: len(maps_used(cluster)) > count, "a switch", within_s
    )


def leader_of(cluster):
    found = []

    def look():
        for number in range(RANKS):
            name = f"agent-rank-{number}"
            if cluster.processes[name].pid and cluster.fetch_status(name).get(
                "is_leading_group"
            ):
                found.append(name)
                return True
        return False

    cluster.wait_until(look, "a leader")
    return found[0]


def wait_stepping(cluster):
    before = len(group_records(cluster)["maps"])
    cluster.wait_until(
        lambda: len(group_records(cluster)["maps"]) > before + 20,
        "the group steps on",
    )


def test_a_group_follows_popularity_with_one_map_a_step(cluster):
    heat(cluster, {0, 1})
    wait_for_switches(cluster, 1)
    skew = group_records(cluster)["skew"]
    heat(cluster, {6, 7})
    wait_for_switches(cluster, 2)
    assert_one_map_a_step(cluster)
    assert skew < 1.2
    wait_stepping(cluster)


@pytest.mark.parametrize("delay_s", [0.0, 0.4, 0.9])
def test_a_killed_leader_leaves_one_map(cluster, delay_s):
    leader = leader_of(cluster)
    heat(cluster, {0, 1})
    time.sleep(delay_s)
    cluster.kill(leader)
    time.sleep(0.5)
    cluster.restart(leader)
    wait_for_switches(cluster, 1)
    assert_one_map_a_step(cluster)
    wait_stepping(cluster)


def test_two_leaders_that_both_believe_leave_one_map(cluster):
    leader = leader_of(cluster)
    heat(cluster, {0, 1})
    time.sleep(0.5)
    cluster.pause(leader)
    time.sleep(8)
    others = [
        f"agent-rank-{n}" for n in range(RANKS) if not leader.endswith(str(n))
    ]
    cluster.wait_until(
        lambda: any(
            cluster.fetch_status(n)["is_leading_group"] for n in others
        ),
        "another leader",
    )
    cluster.resume(leader)
    wait_for_switches(cluster, 1)
    assert_one_map_a_step(cluster)
    for executed in group_records(cluster)["executed"]:
        assert executed == sorted(executed)


def test_a_replaced_rank_does_not_split_the_map(cluster):
    leader_of(cluster)
    url = cluster.processes[STREAM].url
    for hot in ({0, 1}, {4, 5}, {8, 9}):
        heat(cluster, hot)
        for number in range(RANKS):
            time.sleep(0.35)
            http_client.send_request(f"{url}/ranks/{number}/replace", "POST")
    wait_for_switches(cluster, 1)
    assert_one_map_a_step(cluster)
    wait_stepping(cluster)


@pytest.mark.parametrize("delay_s", [0.2, 0.6])
def test_an_outage_of_the_log_holds_the_group_and_splits_nothing(
    cluster, delay_s
):
    leader_of(cluster)
    heat(cluster, {0, 1})
    time.sleep(delay_s)
    cluster.set_faults("log", down=True)
    time.sleep(3)
    cluster.set_faults("log")
    wait_for_switches(cluster, 1)
    assert_one_map_a_step(cluster)
    wait_stepping(cluster)


def test_engines_that_ignore_fencing_numbers_get_orders_in_order(cluster):
    leader = leader_of(cluster)
    heat(cluster, {0, 1}, refuses_old_fencing=False)
    time.sleep(0.4)
    cluster.pause(leader)
    time.sleep(8)
    cluster.resume(leader)
    wait_for_switches(cluster, 1)
    for executed in group_records(cluster)["executed"]:
        assert executed == sorted(executed)
    assert_one_map_a_step(cluster)


def test_a_straggler_gets_less_work(cluster):
    leader_of(cluster)
    wait_stepping(cluster)
    cluster.set_faults(STREAM, slow_ranks={"1": 0.2})
    before = group_records(cluster)["skew"]
    wait_for_switches(cluster, 1)
    cluster.wait_until(
        lambda: group_records(cluster)["skew"] < before / 1.3, "less skew"
    )
    assert_one_map_a_step(cluster)
