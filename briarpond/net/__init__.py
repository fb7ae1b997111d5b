"""Timers, TCP connections and HTTP/1.1 on the circuits event loop.

A process has one loop on one thread. All callbacks of this package are called from it,
so none of them may block.
"""

from ._address import Address, is_ipv4
from ._body_budget import (
    BODY_BUDGET_SHARE,
    BODY_IDLE_TIMEOUT_S,
    COPIES,
    DEFAULT_BODY_BUDGET_BYTES,
    BodyBudget,
    choose_stalled,
)
from ._body_reading import BodyReading
from ._caller_connection import CallerConnection
from ._clock import Clock, Timer
from ._connection_end import BodyRefusal, CloseReason, ConnectionEnd, ConnectionPhase
from ._guard import run_guarded
from ._headers import Headers, find_header, parse_count
from ._http_client import CallState, Exchange, HttpCall, HttpClient
from ._http_reply import HttpReply
from ._http_request import HttpRequest, HttpServerLimits
from ._http_server import HttpServer
from ._listener import TcpListener
from ._loss import LossReason
from ._media_type import media_type
from ._outbound import Connection, ConnectionCallbacks, Connector
from ._poller import DirectPoller
from ._read_allowance import RECEIVE_BYTES, ReadAllowance
from ._sentinel import EXIT_BROKEN_INVARIANT, UncaughtExceptionHandler

__all__ = [
    "Address",
    "BODY_BUDGET_SHARE",
    "BODY_IDLE_TIMEOUT_S",
    "BodyBudget",
    "BodyReading",
    "BodyRefusal",
    "COPIES",
    "CallState",
    "CallerConnection",
    "Clock",
    "CloseReason",
    "Connection",
    "ConnectionCallbacks",
    "ConnectionEnd",
    "ConnectionPhase",
    "Connector",
    "DEFAULT_BODY_BUDGET_BYTES",
    "DirectPoller",
    "EXIT_BROKEN_INVARIANT",
    "Exchange",
    "HttpServerLimits",
    "Headers",
    "HttpCall",
    "HttpClient",
    "HttpServer",
    "HttpReply",
    "HttpRequest",
    "LossReason",
    "RECEIVE_BYTES",
    "ReadAllowance",
    "UncaughtExceptionHandler",
    "TcpListener",
    "Timer",
    "is_ipv4",
    "choose_stalled",
    "find_header",
    "media_type",
    "parse_count",
    "run_guarded",
]
