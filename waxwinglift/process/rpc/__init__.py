"""gRPC messages between processes, and conversion from and to them."""
