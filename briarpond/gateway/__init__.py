"""Serving on the users' platform: sockets and timers around the decisions.

The program is ``python -m briarpond.gateway``. Nothing is imported here, so that its
first lines run before the modules are loaded.
"""
