"""Benchmarks of the system and of its decision code."""
