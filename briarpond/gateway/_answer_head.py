"""Status and headers of a server's answer, as the gateway judges them."""

import msgspec

from briarpond.net import Headers, media_type
from briarpond.platform import HOP_BY_HOP_HEADERS, PlatformHeader

from ._hop_headers import HOP_HEADERS

# The least status of an answer that is a failure.
FIRST_ERROR_STATUS = 400
# Statuses with which a server may state that it has not executed a request.
NOT_EXECUTED_STATUSES = frozenset({421, 429, 503})
# Headers by which an answer states where it ends.
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
# Headers of a server's answer that are not sent to the caller.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | HOP_HEADERS | {"content-length"}


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of an answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : Headers
        Headers as received.
    by_name : dict of str
        The same, each with its last value.
    """

    status: int
    headers: Headers
    by_name: dict[str, str]

    def header(self, name: str) -> str | None:
        """Return the last value of a header; None if it is missing."""
        return self.by_name.get(name)

    @property
    def is_framed(self) -> bool:
        """Whether the answer states where it ends, by a length or by chunks."""
        return not _FRAMING_HEADERS.isdisjoint(self.by_name)

    @property
    def is_error(self) -> bool:
        """Whether the answer is a failure, and not what was asked for."""
        return self.status >= FIRST_ERROR_STATUS

    @property
    def is_not_executed(self) -> bool:
        """Whether the server states that it has not run the request."""
        states_so = self.status == 421 or self.header(PlatformHeader.NOT_EXECUTED) is not None
        return states_so and self.status in NOT_EXECUTED_STATUSES

    @property
    def is_stamped(self) -> bool:
        """Whether the answer bears the stamp of a server."""
        return self.header(PlatformHeader.SERVER_STAMP) is not None

    @property
    def is_usable(self) -> bool:
        """Whether the answer may be passed on: a success is stamped and not encoded."""
        is_success = 200 <= self.status < 300
        return not is_success or (self.is_stamped and self.header("content-encoding") is None)

    @property
    def forwarded_headers(self) -> Headers:
        """The headers that are sent to the caller."""
        return tuple(pair for pair in self.headers if pair[0] not in _DROPPED_HEADERS)

    def continues(self, begun: "AnswerHead") -> bool:
        """Whether the events below this head may follow those below another."""
        return (
            self.status == 200
            and self.is_stamped
            and media_type(self.headers) == media_type(begun.headers)
        )


def read_answer_head(status: int, headers: Headers) -> AnswerHead:
    """Return the head of an answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : Headers
        Headers as received, with names in lower case.
    """
    return AnswerHead(status, headers, dict(headers))
