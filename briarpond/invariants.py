"""The error that ends a process, because state that all its requests share is wrong."""


class BrokenInvariantError(Exception):
    """State that all requests of the process share can no longer be trusted.

    Any other unexpected error costs only the connection, message or timer in which it occurs.
    """
