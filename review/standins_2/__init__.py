"""Stand-ins of the second review: the platform's store, backend servers, clients and nodes."""
