"""Which instance probably has which prompt prefix in its cache.

Engines publish cache events late and with gaps, so a node relies on what it sent to each
instance itself. Wrong entries are short-lived: the number of entries per instance is limited,
as an engine's cache is; entries expire; and they are dropped when an answer shows that nothing
was cached.
"""

from collections import OrderedDict, defaultdict

import xxhash

from briarpond.ids import InstanceId

from ._models import PrefillEstimate

# Seconds for which a prefix is assumed to be cached after the last attempt with it.
ENTRY_TTL_S = 120.0
# Prefixes kept for each instance; the least recently sent ones are dropped.
PREFIXES_PER_INSTANCE = 64
# Characters at the beginning of a single text that other requests are likely to share.
SHARED_PREFIX_CHARS = 512


class PrefixCacheTracker:
    """Prompt prefixes that this node has sent to each instance."""

    def __init__(self) -> None:
        # For each instance: prefix to monotonic time of the last attempt with it, oldest first.
        self._sent: dict[InstanceId, OrderedDict[str, float]] = defaultdict(OrderedDict)

    def record_prefix(self, instance: InstanceId, prefix: str, now: float) -> None:
        """Record that a request with a prefix is sent to an instance, which will cache it."""
        sent = self._sent[instance]
        sent.pop(prefix, None)
        sent[prefix] = now
        if len(sent) > PREFIXES_PER_INSTANCE:
            sent.popitem(last=False)

    def remove(self, instance: InstanceId, prefix: str) -> None:
        """Drop an entry that an answer has shown to be wrong."""
        self._sent[instance].pop(prefix, None)

    def is_cached(self, instance: InstanceId, prefix: str, now: float) -> bool:
        """Whether an instance probably has a prefix cached."""
        sent_at = self._sent[instance].get(prefix) if instance in self._sent else None
        return sent_at is not None and now - sent_at <= ENTRY_TTL_S

    def prune(self, listed: set[InstanceId]) -> None:
        """Drop instances that are not in `listed`."""
        for name in [name for name in self._sent if name not in listed]:
            del self._sent[name]


def estimate_prefill(model: str, texts: list[str], prefill_s_per_kb: float) -> PrefillEstimate:
    """Return the prefix of a prompt and the expected time of its prefill.

    The part that is likely to be shared is all but the last of several messages, else the
    first `SHARED_PREFIX_CHARS` characters of a longer text.

    Parameters
    ----------
    model : str
        Name of the model; equal prompts to different models have different prefixes.
    texts : list of str
        Text of each message, or the one text of the prompt.
    prefill_s_per_kb : float
        Seconds that an engine takes for 1,024 characters of a prompt.
    """
    size_kb = sum(map(len, texts)) / 1024
    if len(texts) > 1:
        shared = "\0".join(texts[:-1])
    elif texts and len(texts[0]) > SHARED_PREFIX_CHARS:
        shared = texts[0][:SHARED_PREFIX_CHARS]
    else:
        return PrefillEstimate(rest_prefill_s=size_kb * prefill_s_per_kb)
    digest = xxhash.xxh3_64_hexdigest(f"{model}\0{shared}".encode())
    shared_kb = len(shared) / 1024
    rest_kb = max(0.0, size_kb - shared_kb)
    return PrefillEstimate(digest, shared_kb * prefill_s_per_kb, rest_kb * prefill_s_per_kb)
