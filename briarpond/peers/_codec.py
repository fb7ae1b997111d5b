"""Thrift codec with authentication, over byte strings.

The outer frame holds an envelope and its HMAC-SHA256 under the secret of the
deployment. Nothing of an envelope is decoded before its code is verified.
"""

import hashlib
import hmac
import struct

import msgspec
from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from ._exceptions import PeerProblem, PeerProblemCode
from ._models import PROTOCOL_VERSION, Envelope
from .gen.messages import ttypes

MAX_FRAME_BYTES = 16 * 1024 * 1024
_LENGTH = struct.Struct("!I")


def encode_frame(envelope: Envelope, secret: bytes) -> bytes:
    """Return the length-prefixed frame of an envelope."""
    inner = _write(_to_thrift(envelope))
    mac = hmac.digest(secret, inner, hashlib.sha256)
    outer = _write(ttypes.Frame(inner, mac))
    return _LENGTH.pack(len(outer)) + outer


def decode_frame(frame: bytes, secret: bytes) -> Result[Envelope, PeerProblem]:
    """Verify and decode one frame without its length."""
    try:
        outer = _read(ttypes.Frame(), frame)
        inner, mac = bytes(outer.envelope), bytes(outer.mac)
    except _MALFORMED as exc:
        return _problem(PeerProblemCode.MALFORMED, exc)
    if not hmac.compare_digest(hmac.digest(secret, inner, hashlib.sha256), mac):
        return _problem(PeerProblemCode.NOT_AUTHENTIC, "wrong code")
    try:
        raw = _read(ttypes.Envelope(), inner)
        envelope = msgspec.convert(raw, Envelope, from_attributes=True)
    except _MALFORMED as exc:
        return _problem(PeerProblemCode.MALFORMED, exc)
    if envelope.version != PROTOCOL_VERSION:
        return _problem(PeerProblemCode.OTHER_VERSION, envelope.version)
    return Ok(envelope)


class FrameAssembler:
    """Cuts a byte stream into frames of bounded size."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Result[list[bytes], PeerProblem]:
        """Return the frames that `data` completes."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                return _problem(PeerProblemCode.TOO_LARGE, f"{length} bytes")
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[_LENGTH.size : end]))
            del self._buffer[:end]
        return Ok(frames)


_MALFORMED = (
    TException,
    EOFError,
    TypeError,
    ValueError,
    OverflowError,
    AttributeError,
    msgspec.ValidationError,
    MemoryError,
    RecursionError,
)


def _problem(code: PeerProblemCode, reason: object) -> Result:
    return Error(PeerProblem(code, str(reason)))


def _write(message) -> bytes:
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def _read(message, data: bytes):
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(data),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=len(data),
    )
    message.read(protocol)
    return message


def _to_thrift(value):
    if isinstance(value, msgspec.Struct):
        kind = getattr(ttypes, type(value).__name__)
        fields = {name: _to_thrift(getattr(value, name)) for name in value.__struct_fields__}
        return kind(**fields)
    if isinstance(value, list):
        return [_to_thrift(item) for item in value]
    return value
