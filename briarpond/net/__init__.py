"""Time, addresses and sockets on the one loop of a process."""

from ._address import Address
from ._clock import Clock, Timer
from ._outbound import Connection, ConnectionUser, Connector

__all__ = ["Address", "Clock", "Connection", "ConnectionUser", "Connector", "Timer"]
