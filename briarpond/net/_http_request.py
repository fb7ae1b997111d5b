"""A caller's request, and the limits on requests and connections of callers."""

import msgspec

from ._headers import Headers, find_header

DEFAULT_HEADER_BYTES = 16_384


class HttpRequest(msgspec.Struct):
    """A complete request.

    Attributes
    ----------
    method, target : str
        Method and request target, as received.
    headers : Headers
        Names, in lower case, and values.
    body : bytes
        The decoded body.
    read_at : float
        Time on the clock of the process at which the request was complete.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    read_at: float

    def header(self, name: str) -> str | None:
        """Return the first value of the header `name` (in lower case), or None."""
        return find_header(self.headers, name)

    def joined_header(self, name: str) -> str:
        """Return all values of the header `name`, which is a list, as one (RFC 9110, 5.3)."""
        return ",".join(value for each, value in self.headers if each == name)


class HttpServerLimits(msgspec.Struct):
    """Limits on requests and connections of callers.

    When they change, `HttpServer.limits` is replaced as a whole. Open connections use the
    new limits too, from their next request on.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Largest size of all headers and of the body; a larger request is refused with
        status 431 or 413.
    header_timeout_s : float
        Longest time in seconds from the first byte of a request to the end of its
        headers; a slower connection is closed.
    idle_timeout_s : float
        Seconds without a request after which a connection is closed.
    """

    max_header_bytes: int = DEFAULT_HEADER_BYTES
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
