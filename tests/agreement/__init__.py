"""Tests of agreement."""
