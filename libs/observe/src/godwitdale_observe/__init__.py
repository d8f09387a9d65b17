"""Logs, metrics and histograms."""

from godwitdale_observe import histograms
from godwitdale_observe import logs
from godwitdale_observe import metrics

__all__ = ["histograms", "logs", "metrics"]
