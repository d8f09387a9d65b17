"""How many streams a service may write at once without long pauses.

The load that this answers: engines that batch continuously take as many
requests as they have slots, and every pass then takes longer for all of them.
Past some number the pauses between events exceed the objective, and all the
streams in progress are late at once.

A pass takes a time of its own and a time for each request that is writing. The
first is declared; the second depends on which experts are in demand and on the
slowest rank, so it is learnt from the pauses that the entry sees.
"""

# Weight of the newest pause; an entry sees some tens of them a second, so
# that a change of the experts in demand shows within about half a second.
_EWMA_WEIGHT = 0.05
# Share of the objective that a pass may take; the rest is for prompts that are
# read between the steps, and for the way.
_PASS_SHARE = 0.92
# Pauses beyond this many objectives come from failures, not from load.
_OUTLIER = 2.0
# The model is not trusted below this share of the slots: with few writers the
# pause says little about what each of them adds.
_LEAST_SHARE = 0.3


class Concurrency:
    """Learns the pause between events as a function of running requests."""

    __slots__ = ("_base_s", "_per_request_s")

    def __init__(self, base_s: float, per_request_s: float) -> None:
        """Starts from what is declared of the engines.

        Args:
            base_s: Time of a pass with no writers.
            per_request_s: Time that each writer adds where the experts in
                demand are spread evenly.
        """
        self._base_s = base_s
        self._per_request_s = per_request_s

    def observe(self, gap_s: float, running: int, objective_s: float) -> None:
        """Takes a pause between two events into account.

        Args:
            gap_s: The pause.
            running: Requests in work at the service meanwhile.
            objective_s: Longest pause that is on time.
        """
        if running <= 0 or gap_s > _OUTLIER * objective_s:
            return
        seen_s = max(0.0, gap_s - self._base_s) / running
        self._per_request_s += _EWMA_WEIGHT * (seen_s - self._per_request_s)

    def limit(self, objective_s: float, slots: int) -> int:
        """Returns how many requests may run at once.

        Args:
            objective_s: Longest pause that is on time.
            slots: Requests that the service could run.
        """
        room_s = objective_s * _PASS_SHARE - self._base_s
        if self._per_request_s <= 0:
            return slots
        most = int(room_s / self._per_request_s)
        return max(int(slots * _LEAST_SHARE), min(slots, most))
