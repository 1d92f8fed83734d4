"""Decisions about batch work: placement, leases, learned sizes, quarantine."""
