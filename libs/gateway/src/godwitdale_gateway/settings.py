"""What a gateway is told, and what its platform provides."""

import dataclasses
from typing import Protocol

from godwitdale_gateway import changing
from godwitdale_gateway import dialect as dialect_lib
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
        frontend: Where callers connect.
        readiness: Where the platform asks for readiness.
        peers: Where other entries reach this one, over UDP.
        stop_s: Time from the request to stop until the process is killed.
        key_bound_s: Oldest configuration by which a key may be accepted.
        apply_s: Time within which a change has to be in force.
        leaving_s: Time in which a leaving endpoint stops getting work.
        retry_share: Retries allowed for each request to a service.
        retry_burst: Retries beyond that, over all entries.
    """

    name: str
    zone: str
    frontend: pool_lib.Address
    readiness: pool_lib.Address
    peers: pool_lib.Address
    stop_s: float
    key_bound_s: float
    apply_s: float
    leaving_s: float
    retry_share: float
    retry_burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """What the platform provides.

    Attributes:
        dialect: Reads and writes headers.
        configuration: The topic that holds the configuration.
        configuration_key: Its key there.
        decode_configuration: Decodes it.
        endpoints: The topic that lists the endpoints.
        decode_endpoint: Decodes one of them.
        registry: Where the entries find each other.
        ranks: Speaks to the ranks of expert-parallel groups.
    """

    dialect: dialect_lib.Dialect
    configuration: topic_follower.Topic
    configuration_key: str
    decode_configuration: store_copies.DecodeConfiguration
    endpoints: topic_follower.Topic
    decode_endpoint: store_copies.DecodeEndpoint
    registry: "Registry"
    ranks: ranks_lib.Ranks


class Registry(changing.Claims, Protocol):
    """Where the entries find each other, and take duties.

    Its calls raise ``exceptions.PlatformUnavailableError``.
    """

    async def announce(self, name: str, address: pool_lib.Address) -> None:
        """Writes where an entry can be reached."""

    async def members(self) -> set[pool_lib.Address]:
        """Returns where entries may be reached."""
