"""Stand-ins for callers, upstreams and workers, and the demonstration."""
