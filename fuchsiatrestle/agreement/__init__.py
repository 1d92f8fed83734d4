"""Replicated log of one cell: core, write-ahead log, snapshots, voters."""
