"""Stand-in database server for tests and demos."""
