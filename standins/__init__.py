"""Substitutes for the processes around the system, for tests and demos.

They play upstreams, workers, callers and the network.  ``demo`` runs the
whole system with them on loopback; ``soak`` runs it under load and injected
faults and checks the ledgers that they write.
"""
