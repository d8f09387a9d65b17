"""TLS for callers, mutual TLS between entries and agents, and reloading."""

import shutil
import ssl

import builders
import certificates
from godwitdale import http_client
from godwitdale import testing


def ask(cluster, authority):
    context = ssl.create_default_context(cafile=authority.certificate_file)
    url = cluster.entry_url().replace("http://", "https://")
    return http_client.send_request(
        url + builders.CHAT_PATH,
        "POST",
        builders.chat_body(tokens=3),
        cluster.request_headers("buyer"),
        context=context,
    )


def presented_by(cluster):
    port = cluster.processes["entry-1"].port
    return ssl.get_server_certificate((testing.HOST, port))


def test_a_request_goes_through_tls_and_certificates_are_reloaded(tmp_path):
    authority = certificates.Authority(tmp_path)
    peers = {"authority": authority.certificate_file}
    callers = authority.issue("callers")
    config = testing.ClusterConfig(
        declarations=builders.declarations(engines=1, apps=0),
        entry_count=1,
        extra_entry_settings={
            "caller_tls": callers,
            "peer_tls": {**authority.issue("entry"), **peers},
        },
        extra_agent_settings={
            "peer_tls": {**authority.issue("agent"), **peers}
        },
    )
    with testing.Cluster(config, tmp_path) as cluster:
        assert ask(cluster, authority).status == 200
        before = presented_by(cluster)
        fresh = authority.issue("fresh")
        for part in ("key", "certificate"):
            shutil.copy(fresh[part], callers[part])
        cluster.wait_until(
            lambda: presented_by(cluster) != before, "a new certificate"
        )
        assert ask(cluster, authority).status == 200


def test_an_agent_refuses_an_entry_of_another_authority(tmp_path):
    ours = certificates.Authority(tmp_path, "ours")
    theirs = certificates.Authority(tmp_path, "theirs")
    config = testing.ClusterConfig(
        declarations=builders.declarations(engines=1, apps=0),
        entry_count=2,
        extra_agent_settings={
            "peer_tls": {
                **ours.issue("agent"),
                "authority": ours.certificate_file,
            }
        },
        extra_entry_settings={
            "peer_tls": {
                **ours.issue("entry"),
                "authority": ours.certificate_file,
            }
        },
    )
    with testing.Cluster(config, tmp_path) as cluster:
        stranger = {
            **theirs.issue("stranger"),
            "authority": ours.certificate_file,
        }
        cluster.reconfigure("entry-2", peer_tls=stranger)
        answer = http_client.send_request(
            cluster.entry_url(2) + builders.CHAT_PATH,
            "POST",
            builders.chat_body(),
            cluster.request_headers("buyer"),
        )
        assert answer.status in (502, 503)
        assert answer.verdict == "not-run"
        assert not any(
            link["open"] for link in cluster.fetch_status("entry-2")["links"]
        )
