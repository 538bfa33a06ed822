"""What lives for one connection at the stand-in server."""
