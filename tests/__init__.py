"""Tests; the folders mirror the package."""

import hypothesis

# Same verdict on every run: examples are derived from the test alone.
hypothesis.settings.register_profile(
    'fixed', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('fixed')
