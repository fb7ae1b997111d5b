"""What a message leaves out if it would be larger than a datagram.

A datagram that is too large is not sent at all, and with it all else that it carries would be lost.
"""

from collections.abc import Iterator

import msgspec

from ._models import Answer, Load, Notice, Pull

# Largest datagram, in bytes; receivers read no larger ones.
MAX_DATAGRAM_BYTES = 65_000


def smaller_messages(message: Pull | Answer | Notice) -> Iterator[Pull | Answer | Notice]:
    """Yield a message with less and less in it: what later messages repeat goes first.

    Evidence is told for some seconds and in turn; loads are told again with the next message.
    """
    if message.evidence is not None:
        message = msgspec.structs.replace(message, evidence=None)
        yield message
    if not isinstance(message, Notice) and message.load is not None:
        yield msgspec.structs.replace(message, load=Load((), message.load.demand))
