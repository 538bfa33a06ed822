"""What lives for the server process: settings, services, command."""
