"""Tests that all ranks of a group use the same expert map in each step.

This must hold while agents, ranks and the log fail. The stand-in of the group
records the map of every rank in every step.
"""

import time

import pytest

import builders
from godwitdale import http_client
from godwitdale import testing

RANKS = 3
GROUP_STANDIN = f"group-{builders.GROUP}"


@pytest.fixture
def cluster(tmp_path):
    config = testing.ClusterConfig(
        declarations=builders.group_declarations(RANKS, skew_weight=50.0),
        entry_count=1,
    )
    with testing.Cluster(config, tmp_path) as started:
        yield started


def fetch_group_records(cluster):
    return cluster.fetch_records(GROUP_STANDIN)


def set_hot_experts(cluster, hot, **faults):
    cluster.set_faults(GROUP_STANDIN, load=builders.expert_loads(hot), **faults)


def list_used_maps(cluster):
    return sorted({step[0] for step in fetch_group_records(cluster)["maps"]})


def assert_one_map_per_step(cluster):
    for step in fetch_group_records(cluster)["maps"]:
        assert len(set(step)) == 1


def wait_for_map_switches(cluster, count, timeout_s=40):
    cluster.wait_until(
        lambda: len(list_used_maps(cluster)) > count,
        "a switch to another map",
        timeout_s,
    )


def wait_for_leader(cluster):
    found = []

    def find_leader():
        for number in range(RANKS):
            name = f"agent-rank-{number}"
            if cluster.processes[name].pid and cluster.fetch_status(name).get(
                "is_leading_group"
            ):
                found.append(name)
                return True
        return False

    cluster.wait_until(find_leader, "a rank leads the group")
    return found[0]


def wait_for_steps(cluster):
    before = len(fetch_group_records(cluster)["maps"])
    cluster.wait_until(
        lambda: len(fetch_group_records(cluster)["maps"]) > before + 20,
        "the group runs further steps",
    )


def test_group_rebalances_with_one_map_per_step(cluster):
    set_hot_experts(cluster, {0, 1})
    wait_for_map_switches(cluster, 1)
    skew = fetch_group_records(cluster)["skew"]
    set_hot_experts(cluster, {6, 7})
    wait_for_map_switches(cluster, 2)
    assert_one_map_per_step(cluster)
    assert skew < 1.2
    wait_for_steps(cluster)


@pytest.mark.parametrize("delay_s", [0.0, 0.4, 0.9])
def test_killed_leader_leaves_one_map_per_step(cluster, delay_s):
    leader = wait_for_leader(cluster)
    set_hot_experts(cluster, {0, 1})
    time.sleep(delay_s)
    cluster.kill(leader)
    time.sleep(0.5)
    cluster.restart(leader)
    wait_for_map_switches(cluster, 1)
    assert_one_map_per_step(cluster)
    wait_for_steps(cluster)


def test_suspended_leader_that_resumes_leaves_one_map_per_step(cluster):
    leader = wait_for_leader(cluster)
    set_hot_experts(cluster, {0, 1})
    time.sleep(0.5)
    cluster.pause(leader)
    time.sleep(8)
    other_agents = [
        f"agent-rank-{n}" for n in range(RANKS) if not leader.endswith(str(n))
    ]
    cluster.wait_until(
        lambda: any(
            cluster.fetch_status(n)["is_leading_group"] for n in other_agents
        ),
        "another rank leads the group",
    )
    cluster.resume(leader)
    wait_for_map_switches(cluster, 1)
    assert_one_map_per_step(cluster)
    for executed in fetch_group_records(cluster)["executed"]:
        assert executed == sorted(executed)


def test_replaced_ranks_keep_one_map_per_step(cluster):
    wait_for_leader(cluster)
    url = cluster.processes[GROUP_STANDIN].url
    for hot in ({0, 1}, {4, 5}, {8, 9}):
        set_hot_experts(cluster, hot)
        for number in range(RANKS):
            time.sleep(0.35)
            http_client.send_request(f"{url}/ranks/{number}/replace", "POST")
    wait_for_map_switches(cluster, 1)
    assert_one_map_per_step(cluster)
    wait_for_steps(cluster)


@pytest.mark.parametrize("delay_s", [0.2, 0.6])
def test_log_outage_keeps_one_map_per_step(cluster, delay_s):
    wait_for_leader(cluster)
    set_hot_experts(cluster, {0, 1})
    time.sleep(delay_s)
    cluster.set_faults("log", down=True)
    time.sleep(3)
    cluster.set_faults("log")
    wait_for_map_switches(cluster, 1)
    assert_one_map_per_step(cluster)
    wait_for_steps(cluster)


def test_engine_without_fencing_receives_commands_in_order(cluster):
    leader = wait_for_leader(cluster)
    set_hot_experts(cluster, {0, 1}, refuses_old_fencing=False)
    time.sleep(0.4)
    cluster.pause(leader)
    time.sleep(8)
    cluster.resume(leader)
    wait_for_map_switches(cluster, 1)
    for executed in fetch_group_records(cluster)["executed"]:
        assert executed == sorted(executed)
    assert_one_map_per_step(cluster)


def test_slow_rank_gets_less_load(cluster):
    wait_for_leader(cluster)
    wait_for_steps(cluster)
    cluster.set_faults(GROUP_STANDIN, slow_ranks={"1": 0.2})
    before = fetch_group_records(cluster)["skew"]
    wait_for_map_switches(cluster, 1)
    cluster.wait_until(
        lambda: fetch_group_records(cluster)["skew"] < before / 1.3,
        "the skew has fallen",
    )
    assert_one_map_per_step(cluster)
