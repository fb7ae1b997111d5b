"""Look-up of client accounts by the digest of their API key."""

import hashlib

from briarpond.configuration import Document
from briarpond.ids import AccountId


def api_key_digest(key: str) -> str:
    """Return the SHA-256 digest of an API key, in hexadecimal, as the configuration has it."""
    return hashlib.sha256(key.encode()).hexdigest()


class AccountIndex:
    """Client accounts of one configuration document, by the digest of each of their keys.

    Parameters
    ----------
    document : Document
        Configuration document; changes to it need a new index.
    """

    def __init__(self, document: Document) -> None:
        self._by_digest = {
            digest: AccountId(name)
            for name, account in document.accounts.items()
            for digest in account.key_sha256
        }

    def find(self, key: str) -> AccountId | None:
        """Return the account that holds `key`, or None if no account does.

        The look-up compares digests instead of keys, so that its time reveals nothing
        about a valid key.
        """
        return self._by_digest.get(api_key_digest(key))
