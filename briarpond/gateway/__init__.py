"""The gateway: a node process that serves callers on the users' platform.

This package does the input and output (sockets, timers, calls to the platform); the
decisions are made by `dispatch`, `placement` and `fleet`.

The program is ``python -m briarpond.gateway``. Nothing is imported here, so that
``__main__`` can install its signal handler before any other module is loaded.
"""
