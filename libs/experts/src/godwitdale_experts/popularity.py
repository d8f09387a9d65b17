"""Exponentially decayed averages of expert popularity and rank speed.

The popularity of an expert is its load: the tokens that it gets in a step.
"""

import numpy as np

from godwitdale_experts import placement


class Popularity:
    """Decayed averages of the tokens of each expert and speed of each rank.

    Attributes:
        load: Tokens per step for each expert, shape ``(experts,)``.
        speed: Relative speed of each rank, shape ``(ranks,)``.
    """

    __slots__ = ("load", "speed", "_time_constant_s")

    def __init__(self, shape: placement.Shape, time_constant_s: float) -> None:
        """Initializes all experts with equal load and ranks with equal speed.

        Args:
            shape: Size of the group.
            time_constant_s: Time in which the weight of an old observation
                falls to 1/e.
        """
        self.load = np.ones(shape.experts)
        self.speed = np.ones(shape.ranks)
        self._time_constant_s = time_constant_s

    def observe(
        self, load: placement.Floats, speed: placement.Floats, elapsed_s: float
    ) -> None:
        """Adds what has been observed since the last call.

        Args:
            load: Mean tokens per step for each expert, shape ``(experts,)``.
            speed: Measured speed of each rank, shape ``(ranks,)``.
            elapsed_s: Time that the observation covers.
        """
        decay = float(np.exp(-elapsed_s / self._time_constant_s))
        self.load = decay * self.load + (1 - decay) * load
        self.speed = decay * self.speed + (1 - decay) * speed
