"""Sockets: HTTP by h11 over curio, and the link between the processes."""
