"""Beliefs on which instance holds which prompt prefix in its cache.

Engines publish cache events late and with gaps, so beliefs rest on own
dispatches and heal by themselves: they are bounded like the caches they stand
for, expire, and are dropped when an answer shows that nothing was cached.
"""

from collections import OrderedDict, defaultdict

import xxhash

from briarpond.ids import InstanceId

BELIEF_S = 120.0
PREFIXES_PER_INSTANCE = 64
SHARED_PREFIX_BYTES = 512


class PrefixBeliefs:
    """Prefixes that this node has sent to each instance, newest last."""

    def __init__(self) -> None:
        self._sent: dict[InstanceId, OrderedDict[str, float]] = defaultdict(OrderedDict)

    def learn(self, instance: InstanceId, prefix: str, now: float) -> None:
        """Note that an instance computes, or has used, a prefix."""
        sent = self._sent[instance]
        sent.pop(prefix, None)
        sent[prefix] = now
        if len(sent) > PREFIXES_PER_INSTANCE:
            sent.popitem(last=False)

    def unlearn(self, instance: InstanceId, prefix: str) -> None:
        """Drop a belief that an answer has shown to be wrong."""
        self._sent[instance].pop(prefix, None)

    def holds(self, instance: InstanceId, prefix: str, now: float) -> bool:
        """Whether an instance is believed to hold a prefix."""
        at = self._sent[instance].get(prefix) if instance in self._sent else None
        return at is not None and now - at <= BELIEF_S


def prefix_of(model: str, texts: list[str]) -> str | None:
    """Return the digest of the part of a prompt that is likely to be shared.

    With several messages that is all but the last; else the first
    `SHARED_PREFIX_BYTES` bytes of a longer text. None if there is no such part.
    """
    if len(texts) > 1:
        shared = "\0".join(texts[:-1])
    elif texts and len(texts[0]) > SHARED_PREFIX_BYTES:
        shared = texts[0][:SHARED_PREFIX_BYTES]
    else:
        return None
    return xxhash.xxh3_64_hexdigest(f"{model}\0{shared}".encode())
