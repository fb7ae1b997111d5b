"""Beliefs on which instance holds which prompt prefix in its cache.

Engines publish cache events late and with gaps, so beliefs rest on own
dispatches and heal by themselves: they are bounded like the caches they stand
for, expire, and are dropped when an answer shows that nothing was cached.
"""

from collections import OrderedDict, defaultdict

import xxhash

from briarpond.ids import InstanceId

from ._models import Hint

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

    def forget(self, known: set[InstanceId]) -> None:
        """Drop instances that are not in `known`."""
        for name in [name for name in self._sent if name not in known]:
            del self._sent[name]


def hint_of(model: str, texts: list[str], prefill_s_per_kb: float) -> Hint:
    """Return what a prompt tells about its cost.

    The part that is likely to be shared is all but the last of several
    messages, else the first `SHARED_PREFIX_BYTES` bytes of a longer text.
    """
    size_kb = sum(map(len, texts)) / 1024
    if len(texts) > 1:
        shared = "\0".join(texts[:-1])
    elif texts and len(texts[0]) > SHARED_PREFIX_BYTES:
        shared = texts[0][:SHARED_PREFIX_BYTES]
    else:
        return Hint(rest_s=size_kb * prefill_s_per_kb)
    digest = xxhash.xxh3_64_hexdigest(f"{model}\0{shared}".encode())
    shared_kb = len(shared) / 1024
    rest_kb = max(0.0, size_kb - shared_kb)
    return Hint(digest, shared_kb * prefill_s_per_kb, rest_kb * prefill_s_per_kb)
