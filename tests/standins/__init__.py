"""Small stand-ins for the services of the platform, as processes on loopback."""
