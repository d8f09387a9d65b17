"""Tests of TLS for callers, mutual TLS for peers, and certificate reload."""

import shutil
import ssl

import builders
import certificates
from godwitdale import http_client
from godwitdale import testing


def send_chat(cluster, authority):
    context = ssl.create_default_context(cafile=authority.certificate_file)
    url = cluster.entry_url().replace("http://", "https://")
    return http_client.send_request(
        url + builders.CHAT_PATH,
        "POST",
        builders.chat_body(tokens=3),
        cluster.request_headers("buyer"),
        context=context,
    )


def fetch_certificate(cluster):
    port = cluster.processes["entry-1"].port
    return ssl.get_server_certificate((testing.HOST, port))


def test_requests_pass_tls_and_certificates_are_reloaded(tmp_path):
    authority = certificates.Authority(tmp_path)
    trusted = {"authority": authority.certificate_file}
    caller_tls = authority.issue("callers")
    config = testing.ClusterConfig(
        declarations=builders.declarations(engines=1, apps=0),
        entry_count=1,
        extra_entry_settings={
            "caller_tls": caller_tls,
            "peer_tls": {**authority.issue("entry"), **trusted},
        },
        extra_agent_settings={
            "peer_tls": {**authority.issue("agent"), **trusted}
        },
    )
    with testing.Cluster(config, tmp_path) as cluster:
        assert send_chat(cluster, authority).status == 200
        before = fetch_certificate(cluster)
        new = authority.issue("fresh")
        for part in ("key", "certificate"):
            shutil.copy(new[part], caller_tls[part])
        cluster.wait_until(
            lambda: fetch_certificate(cluster) != before,
            "the new certificate is presented",
        )
        assert send_chat(cluster, authority).status == 200


def test_agent_refuses_an_entry_certified_by_another_authority(tmp_path):
    own_authority = certificates.Authority(tmp_path, "ours")
    other_authority = certificates.Authority(tmp_path, "theirs")
    config = testing.ClusterConfig(
        declarations=builders.declarations(engines=1, apps=0),
        entry_count=2,
        extra_agent_settings={
            "peer_tls": {
                **own_authority.issue("agent"),
                "authority": own_authority.certificate_file,
            }
        },
        extra_entry_settings={
            "peer_tls": {
                **own_authority.issue("entry"),
                "authority": own_authority.certificate_file,
            }
        },
    )
    with testing.Cluster(config, tmp_path) as cluster:
        foreign_tls = {
            **other_authority.issue("stranger"),
            "authority": own_authority.certificate_file,
        }
        cluster.reconfigure("entry-2", peer_tls=foreign_tls)
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
