"""Index over the declared objects in force, rebuilt when they change."""

from collections.abc import Iterable

from godwitdale_declarations import fold
from godwitdale_declarations import keys
from godwitdale_declarations import objects
from godwitdale_declarations import selectors

_DEFAULT_POLICY = objects.Policy()


class View:
    """Index over declared objects, for entries and agents.

    Attributes:
        accounts: Client accounts by name.
        endpoints: Endpoints by name.
        works: Kinds of work, which determine the urgency of requests, by name.
        groups: Groups by name.
        selectors: Selectors in the order in which they are tried.
        policy: Limits of the whole system.
        evacuated_zones: Zones whose endpoints get no new requests.
        models: Names of all models that endpoints serve.
    """

    __slots__ = (
        "accounts",
        "endpoints",
        "works",
        "groups",
        "selectors",
        "policy",
        "evacuated_zones",
        "models",
        "_keys_by_id",
    )

    def __init__(self, declared: Iterable[objects.Object]) -> None:
        self.accounts: dict[str, objects.Account] = {}
        self.endpoints: dict[str, objects.Endpoint] = {}
        self.works: dict[str, objects.Work] = {}
        self.groups: dict[str, objects.Group] = {}
        self.policy = _DEFAULT_POLICY
        self.evacuated_zones: set[str] = set()
        unsorted: list[objects.Selector] = []
        for each in declared:
            if isinstance(each, objects.Selector):
                unsorted.append(each)
            else:
                self._add(each)
        self.selectors = selectors.sort_selectors(unsorted)
        self.models = frozenset(
            endpoint.labels["model"]
            for endpoint in self.endpoints.values()
            if "model" in endpoint.labels
        )
        self._keys_by_id = {
            key.id: (key, account)
            for account in self.accounts.values()
            for key in account.keys
        }

    def _add(self, declared: objects.Object) -> None:
        if isinstance(declared, objects.Account):
            self.accounts[declared.name] = declared
        elif isinstance(declared, objects.Endpoint):
            self.endpoints[declared.name] = declared
        elif isinstance(declared, objects.Work):
            self.works[declared.name] = declared
        elif isinstance(declared, objects.Group):
            self.groups[declared.name] = declared
        elif isinstance(declared, objects.Policy):
            self.policy = declared
        elif isinstance(declared, objects.Evacuation):
            self.evacuated_zones.add(declared.name)

    def authenticate(self, key: str) -> objects.Account | None:
        """Returns the account of a bearer key, or None if it is not valid.

        Args:
            key: The whole key, ``ID.SECRET``.
        """
        key_and_account = self._keys_by_id.get(key.partition(".")[0])
        if key_and_account is None:
            return None
        declared, account = key_and_account
        return account if keys.verify(key, declared) else None

    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether an endpoint is labelled as leaving, or not declared.

        Such an endpoint is drained.

        Args:
            endpoint: Name of the endpoint.
        """
        declared = self.endpoints.get(endpoint)
        if declared is None:
            return True
        return declared.labels.get(objects.LEAVING_LABEL) == "true"


class ViewCache:
    """Caches the view of a fold's state until the state changes."""

    __slots__ = ("_fold", "_generation", "_view")

    def __init__(self, source: fold.Fold) -> None:
        self._fold = source
        self._generation = -1
        self._view = View([])

    def get(self) -> View:
        """Returns the view of the current state."""
        state = self._fold.state
        if state.generation != self._generation:
            self._view = View(each.declared for each in state.objects.values())
            self._generation = state.generation
        return self._view
