"""Requests to the platform services and decoders of their answers.

These are ports in the sense of the ports-and-adapters pattern, not network ports. To run
the daemon on another platform, replace the functions of this module.
"""

from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from briarpond.decoding import DECODE_ERRORS
from briarpond.journal import LogEntry, Page

from ._models import AppendAnswer, InstanceList, LoadOrder, OrderAnswer, StatusReport
from ._paths import ENGINE_ORDERS_PATH, ENGINE_STATUS_PATH, INSTANCES_PATH, LOG_PATH

# Largest number of entries in one read of the log.
MAX_PAGE_ENTRIES = 512

_T = TypeVar("_T")


class PlatformRequest(msgspec.Struct, frozen=True):
    """HTTP request to a platform service.

    Attributes
    ----------
    method, target : str
        Method and request target.
    body : bytes
        JSON, or empty.
    """

    method: str
    target: str
    body: bytes = b""


class DecodeProblem(msgspec.Struct, frozen=True):
    """Why an answer could not be decoded: the decoder's message."""

    message: str


class _LogPage(msgspec.Struct):
    """Answer to a read of the log; the fields are those of `journal.Page`."""

    oldest: int
    following: int
    entries: tuple[LogEntry, ...]


class _AppendBody(msgspec.Struct):
    value: str


def append_log_request(value: str) -> PlatformRequest:
    """Build the request to append `value` to the log as one entry."""
    return PlatformRequest("POST", LOG_PATH, msgspec.json.encode(_AppendBody(value)))


def read_log_request(offset: int) -> PlatformRequest:
    """Build the request to read a page of the log.

    The page begins at `offset`, or at the oldest entry if the log has already dropped
    the one at `offset`.
    """
    return PlatformRequest("GET", f"{LOG_PATH}?from={offset}&limit={MAX_PAGE_ENTRIES}")


def instance_list_request() -> PlatformRequest:
    """Build the request for the instance list."""
    return PlatformRequest("GET", INSTANCES_PATH)


def status_request() -> PlatformRequest:
    """Build the request for the status of an engine."""
    return PlatformRequest("GET", ENGINE_STATUS_PATH)


def order_request(order: LoadOrder) -> PlatformRequest:
    """Build the request that gives `order` to an engine."""
    return PlatformRequest("POST", ENGINE_ORDERS_PATH, msgspec.json.encode(order))


def decode_append_answer(body: bytes) -> Result[AppendAnswer, DecodeProblem]:
    """Decode the answer of the log to an append."""
    return _decode(body, AppendAnswer)


def decode_log_page(body: bytes) -> Result[Page, DecodeProblem]:
    """Decode a page of the log."""
    return _decode(body, _LogPage).map(lambda page: Page(page.oldest, page.following, page.entries))


def decode_instance_list(body: bytes) -> Result[InstanceList, DecodeProblem]:
    """Decode the instance list."""
    return _decode(body, InstanceList)


def decode_status(body: bytes) -> Result[StatusReport, DecodeProblem]:
    """Decode the status of an engine."""
    return _decode(body, StatusReport)


def decode_order_answer(body: bytes) -> Result[OrderAnswer, DecodeProblem]:
    """Decode the answer of an engine to an order."""
    return _decode(body, OrderAnswer)


def _decode(body: bytes, answer_type: type[_T]) -> Result[_T, DecodeProblem]:
    try:
        return Ok(msgspec.json.decode(body, type=answer_type))
    except DECODE_ERRORS as exc:
        return Error(DecodeProblem(str(exc)))
