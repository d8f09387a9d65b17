"""Expert popularity and rank speed, as decayed observations."""

import numpy as np

from godwitdale_experts import placement


class Popularity:
    """Decayed token counts of each expert and speeds of each rank.

    Attributes:
        load: Tokens for each expert a step, shape ``(experts,)``.
        speed: Relative speed of each rank, shape ``(ranks,)``.
    """

    __slots__ = ("load", "speed", "_time_constant_s")

    def __init__(self, shape: placement.Shape, time_constant_s: float) -> None:
        """Starts with equal popularity and equal speed.

        Args:
            shape: Size of the group.
            time_constant_s: How fast old observations are forgotten.
        """
        self.load = np.ones(shape.experts)
        self.speed = np.ones(shape.ranks)
        self._time_constant_s = time_constant_s

    def observe(
        self, load: placement.Floats, speed: placement.Floats, elapsed_s: float
    ) -> None:
        """Takes in what has been seen since the last call.

        Args:
            load: Mean tokens for each expert a step, shape ``(experts,)``.
            speed: Measured speed of each rank, shape ``(ranks,)``.
            elapsed_s: Time that the observation covers.
        """
        kept = float(np.exp(-elapsed_s / self._time_constant_s))
        self.load = kept * self.load + (1 - kept) * load
        self.speed = kept * self.speed + (1 - kept) * speed
