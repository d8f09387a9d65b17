"""How many streams a service may write at once without long pauses.

The load that this answers: engines that batch continuously take as many
requests as they have slots, and every pass then takes longer for all of them.
Past some number the pauses between events exceed the objective, and all the
streams in progress are late at once.

A pass takes a time of its own and a time for each request that is writing. Both
are learnt from the pauses that the entry sees: the second depends on which
experts are in demand, the first on the slowest rank. Where the first alone
exceeds the objective, a limit would gain nothing.
"""

# What each pause weighs less than the one after it; an entry sees some tens of
# them a second, so that a change shows within a second or two.
_DECAY = 0.985
# Share of the objective that a pass may take; the rest is for prompts that are
# read between the steps, and for the way.
_PASS_SHARE = 0.9
# Longer pauses count as this many objectives: a stall must not be remembered
# for longer than it lasts.
_OUTLIER = 6.0
# Fewer writers than this share of the slots are never worth it: what they gain
# in time, the others lose altogether.
_LEAST_SHARE = 0.4
# Weight, in pauses, of what is declared of an idle group.
_DECLARED_WEIGHT = 1.0
# How much more than an even spread of the experts each writer is taken to cost
# before anything has been seen.
_ASSUMED_IMBALANCE = 2.0


class Concurrency:
    """Learns the pause between events as a line over the running requests."""

    __slots__ = (
        "_base_s",
        "_even_s",
        "_weight",
        "_running",
        "_gap_s",
        "_running_running",
        "_running_gap_s",
    )

    def __init__(self, base_s: float, per_request_s: float) -> None:
        """Starts from what is declared of the engines.

        Args:
            base_s: Time of a pass with no writers.
            per_request_s: Time that each writer adds where the experts in
                demand are spread evenly.
        """
        self._base_s = base_s
        self._even_s = per_request_s
        self._weight = 0.0
        self._running = 0.0
        self._gap_s = 0.0
        self._running_running = 0.0
        self._running_gap_s = 0.0

    def observe(self, gap_s: float, running: int, objective_s: float) -> None:
        """Takes a pause between two events into account.

        Args:
            gap_s: The pause.
            running: Requests in work at the service meanwhile.
            objective_s: Longest pause that is on time.
        """
        if running <= 0:
            return
        gap_s = min(gap_s, _OUTLIER * objective_s)
        self._weight = self._weight * _DECAY + 1.0
        self._running = self._running * _DECAY + running
        self._gap_s = self._gap_s * _DECAY + gap_s
        self._running_running = (
            self._running_running * _DECAY + running * running
        )
        self._running_gap_s = self._running_gap_s * _DECAY + running * gap_s

    def pass_s(self, running: int) -> float:
        """Returns how long a pass takes.

        Args:
            running: Requests in work at the service.
        """
        base_s, per_request_s = self._line()
        return base_s + per_request_s * max(1, running)

    def limit(self, objective_s: float, slots: int) -> int:
        """Returns how many requests may run at once.

        Where even few of them could not keep the pauses short, as beside a
        slow rank, all are late anyway and as many as possible are served.

        Args:
            objective_s: Longest pause that is on time.
            slots: Requests that the service could run.
        """
        base_s, per_request_s = self._line()
        most = int((objective_s * _PASS_SHARE - base_s) / per_request_s)
        return slots if most < slots * _LEAST_SHARE else min(slots, most)

    def _line(self) -> tuple[float, float]:
        """Returns the time of an empty pass and what each request adds.

        Least squares over the pauses and one made up of what is declared of
        an empty pass, which alone tells anything while the load is steady.
        """
        if self._weight <= 0.0:
            return self._base_s, self._even_s * _ASSUMED_IMBALANCE
        weight = self._weight + _DECLARED_WEIGHT
        gap_s = self._gap_s + _DECLARED_WEIGHT * self._base_s
        spread = self._running_running - self._running**2 / weight
        common = self._running_gap_s - self._running * gap_s / weight
        slope_s = max(self._even_s, common / spread if spread > 0 else 0.0)
        base_s = (gap_s - slope_s * self._running) / weight
        return max(self._base_s, base_s), slope_s
