"""HTTP by h11 over curio, and links between the system's own processes."""
