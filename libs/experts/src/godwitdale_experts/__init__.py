"""Placement of experts, rebalancing decisions and changes of expert maps.

Import the modules one by one: ``placement`` and the modules that build on it
need numpy, and small processes can run without numpy.
"""
