"""What lives for a term: log, replication and promotion."""
