"""What a benchmark measures on a caller's connection."""
