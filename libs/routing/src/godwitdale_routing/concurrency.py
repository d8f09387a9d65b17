"""Concurrency limit of a service that keeps its inter-event gaps short.

Engines with continuous batching accept as many requests as they have slots,
and each request makes every iteration longer for all of them. Above some
number of requests, the inter-event gaps exceed the objective, and all running
streams are late at once. An inter-event gap is the time between two successive
events of a stream; every running stream gets an event at the end of an
iteration.

The time of an iteration is the sum of a base time, a time for each decoding
request, and a time for the prompts that are read in the iteration. The base
time and the time per request are estimated from the gaps that the entry
observes: the base time depends on the slowest rank, the time per request on
the experts in demand. If the base time alone exceeds the objective, a limit
gains nothing.

Many prompts that arrive within one iteration also cause a long gap. The limit
therefore counts the prompts that the next iteration has to read, which spreads
the starts of requests over several iterations.
"""

import dataclasses
import math

# After this time, a gap weighs about a third of a new one. The time is short
# because the experts in demand change within seconds and ranks can become slow.
_DECAY_TIME_CONSTANT_S = 1.5
# Weight of the newest gap in the moving average of the last few gaps.
_EWMA_WEIGHT = 0.3
# Share of the objective that an iteration may take. The rest is left for the
# network.
_ITERATION_SHARE = 0.98
# Margin between the mean iteration and the longest one that is on time, in
# standard deviations. One long iteration makes every running stream late, and a
# stream lasts for some twenty iterations.
_MARGIN_DEVIATIONS = 2.5
# A prompt counts as at most this many prompts of mean length, so that the
# longest prompts get a permit, too. One of them alone makes an iteration little
# longer than several short prompts do.
_MAX_PROMPT_TO_MEAN_RATIO = 1.5
# A gap longer than this many objectives counts as this long, so that a stall
# does not affect the estimate for longer than it lasts.
_MAX_GAP_OBJECTIVES = 6.0
# If the limit would be below this share of the slots even without prompts to
# read, no limit applies. With so low a limit, the running requests would gain
# some time, but the requests kept out would be lost altogether.
_MIN_SLOT_SHARE = 0.4
# Weight of the declared time of an idle group in the fitted line. The weight of
# a new gap, for comparison, is its length in seconds.
_DECLARED_WEIGHT = 0.1
# Weight that the gaps from before a change of the expert map keep. Some six
# iterations after the change, the new gaps outweigh these gaps.
_HISTORY_WEIGHT = 0.05
# Keeps the time per request above zero if no time is declared.
_MIN_PER_REQUEST_S = 1e-6
# Before any gap is observed, a request is assumed to cost this many times what
# it would cost if the experts in demand were spread evenly.
_ASSUMED_IMBALANCE = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredTimes:
    """Declared times of the engines of a service.

    Attributes:
        base_s: Time of an iteration without any decoding request.
        per_request_s: Time that a decoding request adds to an iteration of the
            rank that it runs on.
        even_load_share: Time that one more request in the group adds to an
            iteration of the group if the experts in demand are spread evenly,
            as a share of ``per_request_s``.
        rank_local_share: Share of the work on a token that only the rank of the
            request does.
        prefill_per_token_s: Time to read one token of a prompt.
        mean_prompt_tokens: Mean length of a prompt.
    """

    base_s: float
    per_request_s: float
    even_load_share: float = 0.0
    rank_local_share: float = 0.0
    prefill_per_token_s: float = 0.0
    mean_prompt_tokens: float = 0.0

    def capped_prompt_tokens(self, tokens: float) -> float:
        """Returns the number of tokens that a prompt counts for the limit.

        The number is 0 if no mean length of a prompt is declared.

        Args:
            tokens: Tokens of the prompt.
        """
        max_tokens = self.mean_prompt_tokens * _MAX_PROMPT_TO_MEAN_RATIO
        return min(tokens, max_tokens)


class ConcurrencyModel:
    """Linear model of the inter-event gap over the running requests."""

    __slots__ = (
        "_declared",
        "_weight_sum",
        "_running_sum",
        "_gap_sum",
        "_running_square_sum",
        "_running_gap_sum",
        "_gap_square_sum",
        "_recent_gap_s",
        "_recent_whole_gap_s",
    )

    def __init__(self, declared: DeclaredTimes) -> None:
        """Creates a model that starts with the declared times."""
        self._declared = declared
        self._weight_sum = 0.0
        self._running_sum = 0.0
        self._gap_sum = 0.0
        self._running_square_sum = 0.0
        self._running_gap_sum = 0.0
        self._gap_square_sum = 0.0
        self._recent_gap_s = math.inf
        self._recent_whole_gap_s: float | None = None

    def observe(
        self, gap_s: float, running: int, tokens: float, objective_s: float
    ) -> None:
        """Updates the model with an observed inter-event gap.

        Args:
            gap_s: The gap.
            running: Requests in flight at the service during the gap.
            tokens: Tokens of the prompts that were read during the gap.
            objective_s: Longest inter-event gap that is on time.
        """
        if running <= 0:
            return
        gap_s = min(gap_s, _MAX_GAP_OBJECTIVES * objective_s)
        if self._recent_whole_gap_s is None:
            self._recent_whole_gap_s = gap_s
        self._recent_whole_gap_s += _EWMA_WEIGHT * (
            gap_s - self._recent_whole_gap_s
        )
        gap_s = max(self._declared.base_s, gap_s - self.prefill_s(tokens))
        if math.isinf(self._recent_gap_s):
            self._recent_gap_s = gap_s
        self._recent_gap_s += _EWMA_WEIGHT * (gap_s - self._recent_gap_s)
        decay = math.exp(-gap_s / _DECAY_TIME_CONSTANT_S)
        weight = gap_s  # Every gap is weighted by its duration.
        self._weight_sum = self._weight_sum * decay + weight
        self._running_sum = self._running_sum * decay + weight * running
        self._gap_sum = self._gap_sum * decay + weight * gap_s
        self._running_square_sum = (
            self._running_square_sum * decay + weight * running**2
        )
        self._running_gap_sum = (
            self._running_gap_sum * decay + weight * running * gap_s
        )
        self._gap_square_sum = self._gap_square_sum * decay + weight * gap_s**2

    def discount_history(self) -> None:
        """Reduces the weight of the observed gaps in the fitted line.

        Has to be called when the time of the iterations is about to change. The
        average of the last few gaps stays as it is.

        When experts move, the gaps from before and after the change lie on
        different lines. Without the reduced weight, the difference between the
        two lines would count as random variation of the iterations.
        """
        self._weight_sum *= _HISTORY_WEIGHT
        self._running_sum *= _HISTORY_WEIGHT
        self._gap_sum *= _HISTORY_WEIGHT
        self._running_square_sum *= _HISTORY_WEIGHT
        self._running_gap_sum *= _HISTORY_WEIGHT
        self._gap_square_sum *= _HISTORY_WEIGHT

    def iteration_s(self, running: int) -> float:
        """Returns the estimated time of an iteration.

        The average of the last few gaps is an upper bound: after a slow
        rank has recovered, the average falls before the fitted line does.

        Args:
            running: Requests in flight at the service.
        """
        base_s, per_request_s = self._fit()
        return min(base_s + per_request_s * running, self._recent_gap_s)

    def loaded_iteration_s(self, running: int) -> float:
        """Returns the time of an iteration with the prompts that it reads.

        Args:
            running: Requests in flight at the service, which count only until
                an iteration has been observed.
        """
        if self._recent_whole_gap_s is None:
            return self.iteration_s(running)
        return self._recent_whole_gap_s

    def prefill_s(self, tokens: float) -> float:
        """Returns the time that prompts add to the iteration that reads them.

        The share of the work on a prompt token that the whole group takes is
        assumed to be the estimated share for a decoding request.

        Args:
            tokens: Tokens of the prompts.
        """
        declared = self._declared
        if declared.per_request_s <= 0:
            return 0.0
        _, per_request_s = self._fit()
        share = min(1.0, per_request_s / declared.per_request_s)
        return (
            tokens
            * declared.prefill_per_token_s
            * (share + declared.rank_local_share)
        )

    def capped_prompt_tokens(self, tokens: float) -> float:
        """Returns the number of tokens that a prompt counts for the limit."""
        return self._declared.capped_prompt_tokens(tokens)

    def max_running(
        self, objective_s: float, slots: int, tokens: float = 0.0
    ) -> int:
        """Returns how many requests may run at once.

        If even a low limit could not keep the gaps short, for example because
        of a slow rank, all streams are late anyway. The limit is then the
        number of slots, so that as many requests as possible are served.
        Otherwise the prompts may lower the limit, even to 0.

        Args:
            objective_s: Longest inter-event gap that is on time.
            slots: Requests that the service can run at once.
            tokens: Tokens of the prompts that the next iteration has to read.
        """
        base_s, per_request_s = self._fit()
        longest_s = objective_s * _ITERATION_SHARE
        budget_s = (
            longest_s
            - _MARGIN_DEVIATIONS * self._residual_deviation_s()
            - base_s
        )
        if budget_s / per_request_s < slots * _MIN_SLOT_SHARE:
            return slots
        limit = int((budget_s - self.prefill_s(tokens)) / per_request_s)
        return max(0, min(slots, limit))

    def _residual_deviation_s(self) -> float:
        """Returns the standard deviation of the gaps from the fitted line."""
        if self._weight_sum <= 0.0:
            return 0.0
        base_s, per_request_s = self._fit()
        squares = (
            self._gap_square_sum
            - 2 * base_s * self._gap_sum
            - 2 * per_request_s * self._running_gap_sum
            + base_s * base_s * self._weight_sum
            + 2 * base_s * per_request_s * self._running_sum
            + per_request_s * per_request_s * self._running_square_sum
        )
        return math.sqrt(max(0.0, squares / self._weight_sum))

    def _fit(self) -> tuple[float, float]:
        """Returns the base time of an iteration and the time per request.

        The fit is weighted least squares over the observed gaps and one point
        for the declared base time. While the load is steady, all observed gaps
        have the same number of requests. The slope is then determined by their
        mean and by the declared point.
        """
        declared = self._declared
        balanced_s = max(
            _MIN_PER_REQUEST_S,
            declared.per_request_s * declared.even_load_share,
        )
        if self._weight_sum <= 0.0:
            return declared.base_s, balanced_s * _ASSUMED_IMBALANCE
        weight = self._weight_sum + _DECLARED_WEIGHT
        gap_s = self._gap_sum + _DECLARED_WEIGHT * declared.base_s
        variance = self._running_square_sum - self._running_sum**2 / weight
        covariance = self._running_gap_sum - self._running_sum * gap_s / weight
        slope_s = max(
            balanced_s, covariance / variance if variance > 0 else 0.0
        )
        base_s = (gap_s - slope_s * self._running_sum) / weight
        return max(declared.base_s, base_s), slope_s
