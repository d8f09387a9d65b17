"""Concurrency limit of a large iteration group that settles.

The time of an iteration is taken to be::

    slowdown * (base + cost * running) + prompts

The base time is declared. The cost of a request depends on the expert map and
on the experts in demand, and changes within a second. It is the only unknown
while no rank is slow, so it follows from the length of a few iterations, even
if all of them had the same number of requests. It is followed in steps that are
bounded for each iteration, so that the limit neither jumps nor swings.

A request cannot cost more than it would with a highly uneven map. What an
iteration takes beyond that is put down to a slow rank, which makes the base
time longer, too. If more answers were on time with a limit than without one,
weighted by the value of a late answer, the limit applies, however low it is.
Otherwise as many requests as possible run.

When other experts come into demand, all requests cost more at once, and those
that run cannot be taken back. The limit therefore also leaves room for a cost
that is high for an uneven map, and for the highest cost of the last seconds.

Near the limit, the group serves hardly more requests per second if it runs
more of them. The limit therefore leaves a part of the objective free, for the
iterations that are longer than usual: one long iteration makes the answers of
all running requests late.
"""

import collections
import math
import statistics

from godwitdale_routing import concurrency

# Share of the objective that the decoding requests of an iteration may take.
# The rest is for prompts, for the copying of experts and for the network.
_DECODING_SHARE = 0.74
# Share of the objective that an iteration with its prompts may take.
_ITERATION_SHARE = 0.84
# Share of the objective that decoding would take at the highest recent cost.
_PEAK_DECODING_SHARE = 0.88
# Time in which two thirds of a highest cost are forgotten.
_PEAK_TIME_CONSTANT_S = 20.0
# The median of this many iterations is used, so that a pause of the entry
# itself, which looks like a long iteration, does not count.
_MEDIAN_ITERATIONS = 3
# Time in which an estimate moves by two thirds towards what is observed.
_TIME_CONSTANT_S = 0.4
# Largest relative steps of the cost for one iteration. A cost that is too low
# makes all running requests late, so it rises faster than it falls.
_MAX_RISE = 0.2
_MAX_FALL = 0.04
# Iterations after a change of the expert map or after a slow rank in which the
# steps of the cost are unbounded, and their weight.
_UNBOUNDED_ITERATIONS = 4
_UNBOUNDED_WEIGHT = 0.5
# Before any iteration is observed, a request is assumed to cost this many times
# what it costs if the experts in demand are spread evenly.
_ASSUMED_IMBALANCE = 2.0
# Cost, in the same unit, that a change of the experts in demand may bring at
# any moment, even if none has been observed for long.
_MIN_PEAK_IMBALANCE = 3.0
# What a request costs beyond this, in the same unit, is not taken to return.
_MAX_PEAK_IMBALANCE = 4.0
# The most that a request costs, in the same unit.
_MAX_IMBALANCE = 6.0
# Value of a late answer to its caller, as a share of that of one on time.
_LATE_VALUE = 0.5
# Up to this slowdown, no rank is taken to be slow.
_MIN_SLOWDOWN = 1.1
# Weight of the newest gap in the moving averages of the last few gaps.
_EWMA_WEIGHT = 0.3
# A gap longer than this many objectives counts as this long.
_MAX_GAP_OBJECTIVES = 12.0
# Keeps the cost of a request above zero if no time is declared.
_MIN_COST_S = 1e-6


class IterationLimit:
    """Cost of the requests of a large group, and the limit that follows."""

    __slots__ = (
        "_declared",
        "_slots",
        "_even_cost_s",
        "_cost_s",
        "_peak_cost_s",
        "_slowdown",
        "_observed",
        "_unbounded_iterations",
        "_is_unlimited",
        "_recent_gap_s",
        "_recent_whole_gap_s",
    )

    def __init__(self, declared: concurrency.DeclaredTimes, slots: int) -> None:
        """Creates a limit that starts with the declared times.

        Args:
            declared: Declared times of the engines.
            slots: Requests that the group is declared to run at once.
        """
        self._declared = declared
        self._slots = slots
        self._even_cost_s = max(
            _MIN_COST_S, declared.per_request_s * declared.even_load_share
        )
        self._cost_s = self._even_cost_s * _ASSUMED_IMBALANCE
        self._peak_cost_s = self._even_cost_s * _MIN_PEAK_IMBALANCE
        self._slowdown = 1.0
        # Of the last iterations, the cost of a request, and the time over the
        # longest one that an expert map explains.
        self._observed: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MEDIAN_ITERATIONS)
        )
        self._unbounded_iterations = 0
        self._is_unlimited = False
        self._recent_gap_s = math.inf
        self._recent_whole_gap_s: float | None = None

    def observe(
        self, gap_s: float, running: int, tokens: float, objective_s: float
    ) -> None:
        """Updates the estimates with an observed inter-event gap.

        Args:
            gap_s: The gap.
            running: Requests in flight at the group during the gap.
            tokens: Tokens of the prompts that were read during the gap.
            objective_s: Longest inter-event gap that is on time.
        """
        if running <= 0:
            return
        gap_s = min(gap_s, _MAX_GAP_OBJECTIVES * objective_s)
        self._recent_whole_gap_s = _moved(self._recent_whole_gap_s, gap_s)
        decoding_s = max(self._declared.base_s, gap_s - self.prefill_s(tokens))
        recent_gap_s = self._recent_gap_s
        self._recent_gap_s = _moved(
            None if math.isinf(recent_gap_s) else recent_gap_s, decoding_s
        )
        base_s = self._declared.base_s
        longest_s = base_s + self._even_cost_s * _MAX_IMBALANCE * running
        self._observed.append(
            ((decoding_s - base_s) / running, decoding_s / longest_s)
        )
        weight = 1 - math.exp(-gap_s / _TIME_CONSTANT_S)
        self._follow_slowdown(weight)
        self._follow_cost(running, weight)
        self._follow_peak(gap_s)
        self._update_unlimited(objective_s)

    def discount_history(self) -> None:
        """Forgets the last iterations, whose time is about to change."""
        self._observed.clear()
        self._unbounded_iterations = _UNBOUNDED_ITERATIONS

    def iteration_s(self, running: int) -> float:
        """Returns the estimated time of an iteration.

        The average of the last few gaps is an upper bound.

        Args:
            running: Requests in flight at the group.
        """
        return min(self._decoding_s(running), self._recent_gap_s)

    def loaded_iteration_s(self, running: int) -> float:
        """Returns the time of an iteration with the prompts that it reads.

        Args:
            running: Requests in flight at the group, which count only until an
                iteration has been observed.
        """
        if self._recent_whole_gap_s is None:
            return self.iteration_s(running)
        return self._recent_whole_gap_s

    def prefill_s(self, tokens: float) -> float:
        """Returns the time that prompts add to the iteration that reads them.

        The ranks read their prompts side by side. Of the work that a rank does
        alone, the prompt of one rank counts; of the work of the experts, all
        prompts count.

        Args:
            tokens: Tokens of the prompts.
        """
        declared = self._declared
        if declared.per_request_s <= 0:
            return 0.0
        shared = tokens * min(1.0, self._cost_s / declared.per_request_s)
        alone = self.capped_prompt_tokens(tokens) * declared.rank_local_share
        return (shared + alone) * declared.prefill_per_token_s * self._slowdown

    def capped_prompt_tokens(self, tokens: float) -> float:
        """Returns the number of tokens that a prompt counts for the limit."""
        return self._declared.capped_prompt_tokens(tokens)

    def max_running(
        self, objective_s: float, slots: int, tokens: float = 0.0
    ) -> int:
        """Returns how many requests may run at once.

        Args:
            objective_s: Longest inter-event gap that is on time.
            slots: Requests that the group can run at once.
            tokens: Tokens of the prompts that the next iteration has to read.
        """
        if self._is_unlimited:
            return slots
        decoding_s = min(
            objective_s * _DECODING_SHARE,
            objective_s * _ITERATION_SHARE - self.prefill_s(tokens),
        )
        peak_decoding_s = objective_s * _PEAK_DECODING_SHARE
        limit = min(
            self._running_within(decoding_s, self._cost_s),
            self._running_within(peak_decoding_s, self._peak_cost_s),
        )
        return max(0, min(slots, int(limit)))

    def _decoding_s(self, running: float) -> float:
        """Returns the modelled time of an iteration without prompts."""
        base_s = self._declared.base_s
        return self._slowdown * (base_s + self._cost_s * running)

    def _running_within(self, decoding_s: float, cost_s: float) -> float:
        """Returns how many requests make an iteration as long as given."""
        base_s = self._declared.base_s
        return (decoding_s / self._slowdown - base_s) / cost_s

    def _follow_slowdown(self, weight: float) -> None:
        """Moves the slowdown towards what no expert map can explain."""
        ratio = statistics.median_low(each for _, each in self._observed)
        excess = ratio if ratio > _MIN_SLOWDOWN else 1.0
        was_slow = self._is_slow()
        self._slowdown += weight * (excess - self._slowdown)
        if was_slow and not self._is_slow():
            self._unbounded_iterations = _UNBOUNDED_ITERATIONS

    def _is_slow(self) -> bool:
        """Returns whether a rank is taken to be slow."""
        return self._slowdown > _MIN_SLOWDOWN

    def _follow_cost(self, running: int, weight: float) -> None:
        """Moves the cost of a request by a bounded step.

        A cost that follows from few requests is uncertain in proportion to the
        base time over the time that they add, and counts accordingly less.

        Args:
            running: Requests in flight at the group.
            weight: Weight of the newest gap by its length.
        """
        cost_s, _ = statistics.median_low(self._observed)
        cost_s = min(
            max(cost_s, self._even_cost_s), self._even_cost_s * _MAX_IMBALANCE
        )
        added_s = self._cost_s * running
        certainty = (added_s / (self._declared.base_s + added_s)) ** 2
        difference_s = cost_s - self._cost_s
        if self._unbounded_iterations:
            self._unbounded_iterations -= 1
            self._cost_s += _UNBOUNDED_WEIGHT * certainty * difference_s
            return
        self._cost_s += max(
            -_MAX_FALL * self._cost_s,
            min(_MAX_RISE * self._cost_s, weight * certainty * difference_s),
        )

    def _follow_peak(self, gap_s: float) -> None:
        """Updates the highest cost to prepare for after an iteration.

        The cost says nothing of the demand until a slow rank has recovered.
        """
        if self._is_slow() or self._unbounded_iterations:
            return
        kept_share = math.exp(-gap_s / _PEAK_TIME_CONSTANT_S)
        lowest_s = self._even_cost_s * _MIN_PEAK_IMBALANCE
        highest_s = self._even_cost_s * _MAX_PEAK_IMBALANCE
        excess_s = self._peak_cost_s - lowest_s
        self._peak_cost_s = max(
            min(self._cost_s, highest_s),
            lowest_s + excess_s * kept_share,
        )

    def _update_unlimited(self, objective_s: float) -> None:
        """Decides whether a limit would serve fewer requests than it saves.

        A group that runs without a limit keeps doing so until no rank is slow,
        because its cost is known less well while all its iterations are long.
        """
        if self._is_unlimited and self._is_slow():
            return
        decoding_s = objective_s * _DECODING_SHARE
        on_time_per_s = (
            min(
                float(self._slots),
                self._running_within(decoding_s, self._cost_s),
            )
            / decoding_s
        )
        late_per_s = self._slots / self._decoding_s(self._slots)
        self._is_unlimited = on_time_per_s < late_per_s * _LATE_VALUE


def _moved(average_s: float | None, gap_s: float) -> float:
    """Returns a moving average after one more gap."""
    if average_s is None:
        return gap_s
    return average_s + _EWMA_WEIGHT * (gap_s - average_s)
