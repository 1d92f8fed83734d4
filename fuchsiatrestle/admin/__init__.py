"""Administration API: maps HTTP calls to commands and queries."""
