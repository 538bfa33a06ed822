"""Stand-in database server for tests and the demo."""
