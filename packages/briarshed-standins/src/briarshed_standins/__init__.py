"""Stand-ins for the outside systems; used by tests and measurements."""
