"""What lives for one statement at the stand-in server."""
