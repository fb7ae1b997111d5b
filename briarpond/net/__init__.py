"""Time, addresses and sockets on the one loop of a process."""

from ._address import Address
from ._clock import Clock, Timer
from ._http_client import CallState, Exchange, Headers, HttpCall, HttpClient
from ._http_server import CallerConnection, FaceLimits, HttpFace, HttpReply, HttpRequest
from ._listener import TcpListener
from ._loss import LossReason
from ._outbound import Connection, ConnectionUser, Connector
from ._poller import DirectPoller
from ._sentinel import EXIT_INVARIANT, Sentinel

__all__ = [
    "Address",
    "CallState",
    "CallerConnection",
    "Clock",
    "Connection",
    "ConnectionUser",
    "Connector",
    "DirectPoller",
    "EXIT_INVARIANT",
    "Exchange",
    "FaceLimits",
    "Headers",
    "HttpCall",
    "HttpClient",
    "HttpFace",
    "HttpReply",
    "HttpRequest",
    "LossReason",
    "Sentinel",
    "TcpListener",
    "Timer",
]
