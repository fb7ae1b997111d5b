"""Authenticated thrift codec for the messages between nodes.

A frame holds a serialised envelope and its HMAC-SHA256 under the secret that the
nodes of a deployment share. An envelope is decoded only after its HMAC is verified.
On a connection, each frame follows its length as a 4-byte big-endian number.
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

# Larger frames are refused by their length alone, so that a peer cannot exhaust the
# memory.
MAX_FRAME_BYTES = 16 * 1024 * 1024
_LENGTH_PREFIX = struct.Struct("!I")


def encode_frame(envelope: Envelope, secret: bytes) -> bytes:
    """Return an envelope as an authenticated frame with its length before it.

    Parameters
    ----------
    envelope : Envelope
        Message to send.
    secret : bytes
        Secret that the nodes of the deployment share.
    """
    serialised = _serialise(_to_thrift(envelope))
    mac = hmac.digest(secret, serialised, hashlib.sha256)
    outer = _serialise(ttypes.Frame(serialised, mac))
    return _LENGTH_PREFIX.pack(len(outer)) + outer


def decode_frame(frame: bytes, secret: bytes) -> Result[Envelope, PeerProblem]:
    """Verify and decode one frame.

    Parameters
    ----------
    frame : bytes
        Frame without its length, as `FrameAssembler` returns it.
    secret : bytes
        Secret that the nodes of the deployment share.

    Returns
    -------
    Result
        The envelope, or why the frame is refused.
    """
    try:
        outer = _deserialise(ttypes.Frame(), frame)
        serialised, mac = bytes(outer.envelope), bytes(outer.mac)
    except _DECODE_ERRORS as exc:
        return _problem(PeerProblemCode.MALFORMED, exc)
    if not hmac.compare_digest(hmac.digest(secret, serialised, hashlib.sha256), mac):
        return _problem(
            PeerProblemCode.NOT_AUTHENTIC,
            "HMAC does not match the envelope under this node's secret",
        )
    try:
        raw = _deserialise(ttypes.Envelope(), serialised)
        envelope = msgspec.convert(raw, Envelope, from_attributes=True)
    except _DECODE_ERRORS as exc:
        return _problem(PeerProblemCode.MALFORMED, exc)
    if envelope.version != PROTOCOL_VERSION:
        return _problem(PeerProblemCode.OTHER_VERSION, envelope.version)
    return Ok(envelope)


class FrameAssembler:
    """Splits the byte stream of a connection into frames of at most `MAX_FRAME_BYTES`."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Result[list[bytes], PeerProblem]:
        """Buffer `data` and return the frames that are complete now, without their lengths.

        An error means that a frame is too large; the stream cannot be read any further.
        """
        self._buffer += data
        frames = []
        while len(self._buffer) >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                return _problem(
                    PeerProblemCode.TOO_LARGE,
                    f"frame of {length} bytes, more than {MAX_FRAME_BYTES}",
                )
            end = _LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[_LENGTH_PREFIX.size : end]))
            del self._buffer[:end]
        return Ok(frames)


# What the thrift library and msgspec raise for bytes that are no valid message.
_DECODE_ERRORS = (
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


def _serialise(message) -> bytes:
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def _deserialise(message, data: bytes):
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(data),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=len(data),
    )
    message.read(protocol)
    return message


def _to_thrift(value):
    """Return `value` with each message replaced by the thrift object of the same class name."""
    if isinstance(value, msgspec.Struct):
        thrift_class = getattr(ttypes, type(value).__name__)
        fields = {name: _to_thrift(getattr(value, name)) for name in value.__struct_fields__}
        return thrift_class(**fields)
    if isinstance(value, list):
        return [_to_thrift(item) for item in value]
    return value
