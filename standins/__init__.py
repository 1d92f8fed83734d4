"""Stand-ins for what surrounds the system: upstreams, workers, callers.

``demo`` runs the whole system with them on loopback, ``soak`` runs it under
load and faults and checks their ledgers.
"""
