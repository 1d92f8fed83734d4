"""Tests of control."""
