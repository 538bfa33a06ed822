"""gRPC messages between processes; conversion from and to core types."""
