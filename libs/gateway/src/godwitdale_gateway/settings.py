"""What a gateway is told, and what its platform provides."""

import dataclasses
from typing import Protocol

from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import map_changer
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_gateway import store_copies
from godwitdale_gateway import topic_follower
from godwitdale_http import pool as pool_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a gateway.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        frontend_address: Where callers connect.
        readiness_address: Where the platform asks for readiness.
        peer_address: Where other entries reach this one, over UDP.
        stop_timeout_s: Time from the request to stop until the process is
            killed.
        max_configuration_age_s: Oldest configuration by which a key may be
            accepted.
        configuration_apply_s: Time within which a change has to be in force.
        endpoint_drain_s: Time in which a leaving endpoint stops getting work.
        retry_ratio: Retries allowed for each request to a service.
        retry_burst: Retries beyond that, over all entries.
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


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """What the platform provides.

    Attributes:
        dialect: Reads and writes headers.
        configuration_topic: The topic that holds the configuration.
        configuration_key: Its key there.
        decode_configuration: Decodes it.
        endpoint_topic: The topic that lists the endpoints.
        decode_endpoint: Decodes one of them.
        registry: Where the entries find each other.
        rank_client: Speaks to the ranks of expert-parallel groups.
    """

    dialect: dialect_lib.Dialect
    configuration_topic: topic_follower.Topic
    configuration_key: str
    decode_configuration: store_copies.DecodeConfiguration
    endpoint_topic: topic_follower.Topic
    decode_endpoint: store_copies.DecodeEndpoint
    registry: "Registry"
    rank_client: ranks_lib.RankClient


class Registry(map_changer.OwnershipStore, Protocol):
    """Where the entries find each other, and take duties.

    Its calls raise ``exceptions.PlatformUnavailableError``.
    """

    async def announce(self, name: str, address: pool_lib.Address) -> None:
        """Writes where an entry can be reached."""

    async def member_addresses(self) -> set[pool_lib.Address]:
        """Returns where entries may be reached."""
