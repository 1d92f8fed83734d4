"""Tests of messages."""
