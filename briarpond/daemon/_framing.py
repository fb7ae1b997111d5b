"""Bounds of one HTTP request in a byte stream.

circuits.web takes what one read gives for one request. Pipelined requests, and
bodies of any size, are therefore cut and bounded here before it sees them; the
parsing itself stays with the library.
"""

import re
from http import HTTPStatus

import msgspec

_HEAD_END = b"\r\n\r\n"
_LENGTH = re.compile(rb"^content-length:[ \t]*(.*?)[ \t]*$", re.IGNORECASE | re.MULTILINE)
_ENCODING = re.compile(rb"^transfer-encoding:", re.IGNORECASE | re.MULTILINE)


class Cut(msgspec.Struct, frozen=True):
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

    passed: bytes = b""
    rest: bytes = b""
    problem: HTTPStatus | None = None


class RequestFrame:
    """Follows one request from its first byte to its last."""

    def __init__(self, header_bytes: int, request_bytes: int) -> None:
        self._header_bytes = header_bytes
        self._request_bytes = request_bytes
        self._head = b""
        self._missing: int | None = None

    @property
    def begun(self) -> bool:
        """Whether any byte of the request has arrived."""
        return bool(self._head) or self._missing is not None

    def feed(self, data: bytes) -> Cut:
        """Take bytes that have arrived."""
        if self._missing is not None:
            return self._take_body(data)
        self._head += data
        end = self._head.find(_HEAD_END)
        if end > self._header_bytes or end < 0 and len(self._head) > self._header_bytes:
            return Cut(problem=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if end < 0:
            return Cut()
        whole, self._head = self._head, b""
        head = whole[: end + len(_HEAD_END)]
        problem = self._measure(head[: -len(_HEAD_END)].replace(b"\r\n", b"\n"))
        if problem is not None:
            return Cut(problem=problem)
        body = self._take_body(whole[len(head) :])
        return Cut(head + body.passed, body.rest)

    def _measure(self, head: bytes) -> HTTPStatus | None:
        """Learn the length of the body from a head with plain line ends."""
        if _ENCODING.search(head):
            return HTTPStatus.LENGTH_REQUIRED
        lengths = set(_LENGTH.findall(head))
        if not lengths:
            self._missing = 0
            return None
        text = lengths.pop()
        if lengths or not text.isdigit():
            return HTTPStatus.BAD_REQUEST
        if len(text) > 12 or int(text) > self._request_bytes:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        self._missing = int(text)
        return None

    def _take_body(self, data: bytes) -> Cut:
        assert self._missing is not None
        passed, rest = data[: self._missing], data[self._missing :]
        self._missing -= len(passed)
        return Cut(passed, rest)
