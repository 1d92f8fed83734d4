"""Tests of the dispatcher of workflows."""
