"""Stand-ins of the third review: the platform's store, servers, clients and the nodes' start."""
