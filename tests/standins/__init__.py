"""Small replacements for the platform's services and the backend servers, for tests on loopback.

Each runs as a process of its own: the log, the instance list, the engines, a plain server.
"""
