"""Experts: placement, the decision to move them, and the switch of maps.

Modules are imported one by one: ``placement`` and what builds on it need
numpy, which a small process can do without.
"""
