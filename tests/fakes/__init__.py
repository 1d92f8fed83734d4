"""Fakes at the interfaces."""
