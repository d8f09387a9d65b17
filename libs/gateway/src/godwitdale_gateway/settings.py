"""Settings of a gateway, and its interfaces to the platform."""

import dataclasses
from typing import Protocol

from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import evacuations
from godwitdale_gateway import map_changer
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_gateway import store_copies
from godwitdale_gateway import topic_follower
from godwitdale_http import pool as pool_lib

# Memory of the smallest instance on which a gateway runs.
DEFAULT_MEMORY_BYTES = 152 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a gateway.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        frontend_address: Address that callers connect to.
        readiness_address: Address that the platform probes for readiness.
        peer_address: UDP address at which other entries reach this one.
        stop_timeout_s: Time from the request to stop until the platform kills
            the process.
        max_configuration_age_s: Maximum age of a configuration by which an
            API key may be accepted.
        configuration_apply_s: Time within which a changed configuration has
            to be in force.
        endpoint_drain_s: Time within which a draining endpoint has to stop
            receiving requests.
        retry_ratio: Retries allowed for each request to a service.
        retry_burst: Retries allowed beyond that ratio, over all entries.
        cold_overage: Multiple of its declared rate that a cold endpoint stands.
        cold_slack: Requests in any second that it stands beyond that.
        memory_bytes: Memory that the process may use.
        max_sockets: Number of sockets that the process may have open, or None
            if it is not limited.
    """

    name: str
    zone: str
    frontend_address: pool_lib.Address
    readiness_address: pool_lib.Address
    peer_address: pool_lib.Address
    stop_timeout_s: float
    max_configuration_age_s: float
    configuration_apply_s: float
    endpoint_drain_s: float
    retry_ratio: float
    retry_burst: float
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_sockets: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """Interfaces through which a gateway uses its platform.

    Attributes:
        dialect: Decodes and encodes headers.
        configuration_topic: The topic that holds the configuration.
        configuration_key: Key of the configuration in that topic.
        decode_configuration: Decodes the configuration.
        evacuated_zone: Decodes the keys of evacuations in that topic.
        is_evacuation: Checks the values of evacuations.
        endpoint_topic: The topic that lists the endpoints.
        decode_endpoint: Decodes one endpoint.
        registry: Lists the entries and records which of them owns the expert
            maps.
        rank_client: Reads from and sends commands to the ranks of
            expert-parallel groups.
    """

    dialect: dialect_lib.Dialect
    configuration_topic: topic_follower.Topic
    configuration_key: str
    decode_configuration: store_copies.DecodeConfiguration
    evacuated_zone: evacuations.EvacuatedZone
    is_evacuation: evacuations.IsEvacuation
    endpoint_topic: topic_follower.Topic
    decode_endpoint: store_copies.DecodeEndpoint
    registry: "Registry"
    rank_client: ranks_lib.RankClient


class Registry(map_changer.OwnershipStore, Protocol):
    """Lists the entries and records which of them owns the expert maps.

    All calls raise ``exceptions.PlatformUnavailableError`` where the platform
    cannot be reached.
    """

    async def announce(self, name: str, address: pool_lib.Address) -> None:
        """Publishes the address of an entry."""

    async def member_addresses(self) -> set[pool_lib.Address]:
        """Returns the published addresses; some of the entries may be gone."""
