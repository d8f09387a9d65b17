"""How many streams a service may write at once without long pauses.

The load that this answers: engines that batch continuously take as many
requests as they have slots, and every pass then takes longer for all of them.
Past some number the pauses between events exceed the objective, and all the
streams in progress are late at once.

A pass takes a time of its own, a time for each request that is writing, and a
time for the prompts that are read in it. The first two are learnt from the
pauses that the entry sees: the second depends on which experts are in demand,
the first on the slowest rank. Where the first alone exceeds the objective, a
limit would gain nothing.

Many prompts that arrive within one pass are the other way to a long pause, so
that starts are spread over the passes.
"""

import dataclasses
import math

# Time in which a pause comes to weigh a third of a new one. It follows the
# experts in demand, which change within seconds, and ranks that turn slow.
_MEMORY_S = 1.5
# Weight of the newest pause among the last few.
_RECENT_WEIGHT = 0.3
# Share of the objective that a pass may take; the rest is for the way.
_PASS_SHARE = 0.98
# Standard deviations between the mean pass and that. One long pass makes every
# stream in progress late, and some twenty passes go by while a stream lasts.
_DEVIATIONS = 2.5
# A prompt counts as at most this many usual ones, so that the longest get their
# turn; one of them alone makes a pass little longer than several short ones.
_MOST_PROMPTS = 1.5
# Longer pauses count as this many objectives: a stall must not be remembered
# for longer than it lasts.
_OUTLIER = 6.0
# Fewer writers than this share of the slots are never worth it: what they gain
# in time, the others lose altogether.
_LEAST_SHARE = 0.4
# Weight, in seconds of pauses, of what is declared of an idle group.
_DECLARED_WEIGHT = 0.1
# Weight that pauses keep from before a change of the experts' places: some six
# passes after it they count for nothing.
_FADED = 0.05
# Keeps what a writer adds above nothing where nothing is declared.
_LEAST_S = 1e-6
# How much more than an even spread of the experts each writer is taken to cost
# before anything has been seen.
_ASSUMED_IMBALANCE = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredTimes:
    """What is declared of the engines of a service.

    Attributes:
        base_s: Time of a pass with no writers.
        per_request_s: Time that a writer adds to a pass of the rank that it
            runs on.
        even_load_share: Share of ``per_request_s`` that the whole group takes
            where the experts in demand are spread evenly.
        rank_local_share: Share of the work on tokens that only the rank of the
            request does.
        prefill_per_token_s: Time to read a token of a prompt.
        mean_prompt_tokens: Mean length of a prompt.
    """

    base_s: float
    per_request_s: float
    even_load_share: float = 0.0
    rank_local_share: float = 0.0
    prefill_per_token_s: float = 0.0
    mean_prompt_tokens: float = 0.0


class ConcurrencyModel:
    """Learns the pause between events as a line over the running requests."""

    __slots__ = (
        "_declared",
        "_weight",
        "_running",
        "_gap_s",
        "_running_running",
        "_running_gap_s",
        "_gap_gap_s",
        "_recent_s",
    )

    def __init__(self, declared: DeclaredTimes) -> None:
        """Starts from what is declared of the engines."""
        self._declared = declared
        self._weight = 0.0
        self._running = 0.0
        self._gap_s = 0.0
        self._running_running = 0.0
        self._running_gap_s = 0.0
        self._gap_gap_s = 0.0
        self._recent_s = math.inf

    def observe(
        self, gap_s: float, running: int, tokens: float, objective_s: float
    ) -> None:
        """Takes a pause between two events into account.

        Args:
            gap_s: The pause.
            running: Requests in work at the service meanwhile.
            tokens: Tokens of the prompts that were read in it.
            objective_s: Longest pause that is on time.
        """
        if running <= 0:
            return
        gap_s = min(gap_s, _OUTLIER * objective_s)
        gap_s = max(self._declared.base_s, gap_s - self.prefill_s(tokens))
        if math.isinf(self._recent_s):
            self._recent_s = gap_s
        self._recent_s += _RECENT_WEIGHT * (gap_s - self._recent_s)
        kept = math.exp(-gap_s / _MEMORY_S)
        weight = gap_s  # A long pause stands for as much time as it took.
        self._weight = self._weight * kept + weight
        self._running = self._running * kept + weight * running
        self._gap_s = self._gap_s * kept + weight * gap_s
        self._running_running = (
            self._running_running * kept + weight * running**2
        )
        self._running_gap_s = (
            self._running_gap_s * kept + weight * running * gap_s
        )
        self._gap_gap_s = self._gap_gap_s * kept + weight * gap_s**2

    def discount_history(self) -> None:
        """Lets what was seen weigh little, as passes are to change.

        Where experts move, pauses of before and after lie on different lines;
        taken together they look as if passes varied without a reason.
        """
        self._weight *= _FADED
        self._running *= _FADED
        self._gap_s *= _FADED
        self._running_running *= _FADED
        self._running_gap_s *= _FADED
        self._gap_gap_s *= _FADED

    def iteration_s(self, running: int) -> float:
        """Returns how long a pass takes.

        A rank that was slow and has recovered shows in the last few passes
        before the line has forgotten it.

        Args:
            running: Requests in work at the service.
        """
        base_s, per_request_s = self._line()
        return min(base_s + per_request_s * running, self._recent_s)

    def prefill_s(self, tokens: float) -> float:
        """Returns how much longer prompts make the pass that reads them.

        The group's part of a token is what a writer's part was learnt to be.

        Args:
            tokens: Tokens of the prompts.
        """
        declared = self._declared
        if declared.per_request_s <= 0:
            return 0.0
        _, per_request_s = self._line()
        share = min(1.0, per_request_s / declared.per_request_s)
        return (
            tokens
            * declared.prefill_per_token_s
            * (share + declared.rank_local_share)
        )

    def capped_prompt_tokens(self, tokens: float) -> float:
        """Returns how many tokens a prompt counts for a place."""
        most = self._declared.mean_prompt_tokens * _MOST_PROMPTS
        return min(tokens, most)

    def max_running(
        self, objective_s: float, slots: int, tokens: float = 0.0
    ) -> int:
        """Returns how many requests may run at once.

        Where even few of them could not keep the pauses short, as beside a
        slow rank, all are late anyway and as many as possible are served.

        Args:
            objective_s: Longest pause that is on time.
            slots: Requests that the service could run.
            tokens: Tokens of the prompts that the next pass has to read.
        """
        base_s, per_request_s = self._line()
        longest_s = objective_s * _PASS_SHARE
        room_s = longest_s - _DEVIATIONS * self._deviation_s() - base_s
        if room_s / per_request_s < slots * _LEAST_SHARE:
            return slots
        most = int((room_s - self.prefill_s(tokens)) / per_request_s)
        return max(0, min(slots, most))

    def _deviation_s(self) -> float:
        """Returns how far pauses lie from the line, as a standard deviation."""
        if self._weight <= 0.0:
            return 0.0
        base_s, per_request_s = self._line()
        squares = (
            self._gap_gap_s
            - 2 * base_s * self._gap_s
            - 2 * per_request_s * self._running_gap_s
            + base_s * base_s * self._weight
            + 2 * base_s * per_request_s * self._running
            + per_request_s * per_request_s * self._running_running
        )
        return math.sqrt(max(0.0, squares / self._weight))

    def _line(self) -> tuple[float, float]:
        """Returns the time of an empty pass and what each request adds.

        Least squares over the pauses and one made up of what is declared of
        an empty pass, which alone tells anything while the load is steady.
        """
        declared = self._declared
        even_s = max(
            _LEAST_S, declared.per_request_s * declared.even_load_share
        )
        if self._weight <= 0.0:
            return declared.base_s, even_s * _ASSUMED_IMBALANCE
        weight = self._weight + _DECLARED_WEIGHT
        gap_s = self._gap_s + _DECLARED_WEIGHT * declared.base_s
        spread = self._running_running - self._running**2 / weight
        common = self._running_gap_s - self._running * gap_s / weight
        slope_s = max(even_s, common / spread if spread > 0 else 0.0)
        base_s = (gap_s - slope_s * self._running) / weight
        return max(declared.base_s, base_s), slope_s
