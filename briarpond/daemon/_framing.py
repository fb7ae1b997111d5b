"""Framing of HTTP requests in a byte stream: where a request ends and whether it is too big.

circuits.web treats the bytes of one read as one request and does not limit a body.
Pipelined requests are therefore separated, and sizes checked, before the library gets
the bytes; parsing stays with the library.
"""

import re
from http import HTTPStatus

import msgspec

_HEAD_END = b"\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"^content-length:[ \t]*(.*?)[ \t]*$", re.IGNORECASE | re.MULTILINE)
_IDEMPOTENCY_KEY = re.compile(rb"^idempotency-key:", re.IGNORECASE | re.MULTILINE)
_TRANSFER_ENCODING = re.compile(rb"^transfer-encoding:", re.IGNORECASE | re.MULTILINE)


class HeadResult(msgspec.Struct, frozen=True):
    """What received bytes have to do with the head of a request.

    Attributes
    ----------
    head : bytes
        The whole head; empty until it is complete.
    taken : int
        Received bytes that belong to the head; what follows is its body or a later request.
    error_status : HTTPStatus or None
        Status with which the request is refused; None if it is acceptable so far.
    """

    head: bytes = b""
    taken: int = 0
    error_status: HTTPStatus | None = None


class RequestFrame:
    """Framing state of one request: its head, and the length of its body.

    Parameters
    ----------
    max_header_bytes : int
        Largest size of request line and headers.
    max_body_bytes : int
        Largest ``Content-Length``.

    Attributes
    ----------
    body_length : int or None
        Length of the body; None until the head is complete.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.body_length: int | None = None
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._head_received = b""
        self._head_has_key = False

    @property
    def started(self) -> bool:
        """Whether any byte of the request has arrived."""
        return bool(self._head_received) or self.body_length is not None

    @property
    def has_key(self) -> bool:
        """Whether an idempotency key has arrived."""
        return self._head_has_key or _IDEMPOTENCY_KEY.search(self._head_received) is not None

    def feed_head(self, data: bytes) -> HeadResult:
        """Add received bytes to an incomplete head; return what belongs to it."""
        received = self._head_received + data
        end = received.find(_HEAD_END)
        if end > self._max_header_bytes or end < 0 and len(received) > self._max_header_bytes:
            return HeadResult(error_status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if end < 0:
            self._head_received = received
            return HeadResult(taken=len(data))
        head = received[: end + len(_HEAD_END)]
        taken = len(head) - len(self._head_received)
        self._head_received = b""
        error_status = self._parse_body_length(head[: -len(_HEAD_END)].replace(b"\r\n", b"\n"))
        if error_status is not None:
            return HeadResult(error_status=error_status)
        return HeadResult(head, taken)

    def _parse_body_length(self, head: bytes) -> HTTPStatus | None:
        """Read the body's length from a head whose lines end in a bare newline.

        A chunked body is refused, because its length is not known in advance, and so
        are contradicting lengths, which two parsers could read differently.

        Returns
        -------
        HTTPStatus or None
            Status with which to refuse the request; None if the length is valid.
        """
        self._head_has_key = _IDEMPOTENCY_KEY.search(head) is not None
        if _TRANSFER_ENCODING.search(head):
            return HTTPStatus.LENGTH_REQUIRED
        lengths = set(_CONTENT_LENGTH.findall(head))
        if not lengths:
            self.body_length = 0
            return None
        text = lengths.pop()
        if lengths or not text.isdigit():
            return HTTPStatus.BAD_REQUEST
        # More than 12 digits exceed any limit; they are not converted to a number.
        if len(text) > 12 or int(text) > self._max_body_bytes:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        self.body_length = int(text)
        return None
