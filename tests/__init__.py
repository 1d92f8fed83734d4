"""Tests; the folders mirror the package."""

import hypothesis

# Examples are derived from the source of a test alone, so that the test has
# the same result in each run.
hypothesis.settings.register_profile(
    'fixed', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('fixed')
