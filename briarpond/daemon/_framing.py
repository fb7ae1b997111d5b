"""Bounds of one HTTP request in a byte stream.

circuits.web takes what one read gives for one request. Pipelined requests, and
bodies of any size, are therefore cut and bounded here before it sees them; the
parsing itself stays with the library.
"""

import re
from http import HTTPStatus

import msgspec

_HEAD_END = b"\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"^content-length:[ \t]*(.*?)[ \t]*$", re.IGNORECASE | re.MULTILINE)
_TRANSFER_ENCODING = re.compile(rb"^transfer-encoding:", re.IGNORECASE | re.MULTILINE)


class FrameResult(msgspec.Struct, frozen=True):
    """What to do with bytes that have arrived.

    Attributes
    ----------
    passed : bytes
        Bytes of the current request, to hand on.
    rest : bytes
        Bytes of later requests, to keep.
    problem : HTTPStatus or None
        Why the request is refused.
    """

    current: bytes = b""
    remaining: bytes = b""
    error_status: HTTPStatus | None = None


class RequestFrame:
    """Follows one request from its first byte to its last."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._head_received = b""
        self._body_bytes_left: int | None = None

    @property
    def started(self) -> bool:
        """Whether any byte of the request has arrived."""
        return bool(self._head_received) or self._body_bytes_left is not None

    def feed(self, data: bytes) -> FrameResult:
        """Take bytes that have arrived."""
        if self._body_bytes_left is not None:
            return self._split_body(data)
        self._head_received += data
        end = self._head_received.find(_HEAD_END)
        if (
            end > self._max_header_bytes
            or end < 0
            and len(self._head_received) > self._max_header_bytes
        ):
            return FrameResult(error_status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if end < 0:
            return FrameResult()
        received, self._head_received = self._head_received, b""
        head = received[: end + len(_HEAD_END)]
        error_status = self._parse_body_length(head[: -len(_HEAD_END)].replace(b"\r\n", b"\n"))
        if error_status is not None:
            return FrameResult(error_status=error_status)
        body = self._split_body(received[len(head) :])
        return FrameResult(head + body.current, body.remaining)

    def _parse_body_length(self, head: bytes) -> HTTPStatus | None:
        """Learn the length of the body from a head with plain line ends."""
        if _TRANSFER_ENCODING.search(head):
            return HTTPStatus.LENGTH_REQUIRED
        lengths = set(_CONTENT_LENGTH.findall(head))
        if not lengths:
            self._body_bytes_left = 0
            return None
        text = lengths.pop()
        if lengths or not text.isdigit():
            return HTTPStatus.BAD_REQUEST
        if len(text) > 12 or int(text) > self._max_body_bytes:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        self._body_bytes_left = int(text)
        return None

    def _split_body(self, data: bytes) -> FrameResult:
        assert self._body_bytes_left is not None
        current, remaining = data[: self._body_bytes_left], data[self._body_bytes_left :]
        self._body_bytes_left -= len(current)
        return FrameResult(current, remaining)
