"""Recognition of client accounts by the digest of their key."""

import hashlib

from briarpond.configuration import Document
from briarpond.ids import AccountId


def key_hash(key: str) -> str:
    """Return the SHA-256 digest under which a key stands in the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


class AccountIndex:
    """Digest of a key to the account that owns it, for one document."""

    def __init__(self, document: Document) -> None:
        self._by_digest = {
            digest: AccountId(name)
            for name, account in document.accounts.items()
            for digest in account.key_sha256
        }

    def find(self, key: str) -> AccountId | None:
        """Return the account of `key`.

        The look-up compares digests, so its time says nothing about a key.
        """
        return self._by_digest.get(key_hash(key))
