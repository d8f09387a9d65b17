"""Logs, request traces, metrics and histograms."""
