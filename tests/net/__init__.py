"""Tests of the package ``fuchsiatrestle.net``."""
