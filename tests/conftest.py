"""Configuration of Hypothesis for all tests."""

import hypothesis

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")
