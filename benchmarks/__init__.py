"""Measurements; each module is a command of its own."""
