"""Benchmarks; each public module is run as a command."""
