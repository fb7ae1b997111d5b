"""Socket addresses."""

import re
from typing import NamedTuple

# A number without leading zeros, which some resolvers take as octal.
_NUMBER = r"(?:0|[1-9][0-9]{0,4})"
_HOST = re.compile(rf"{_NUMBER}(?:\.{_NUMBER}){{3}}")
_ADDRESS = re.compile(rf"(?P<host>{_HOST.pattern}):(?P<port>{_NUMBER})")
_MAX_PORT = 65535


def is_ipv4(text: str) -> bool:
    """Whether a text is an IPv4 address in dotted notation."""
    return _HOST.fullmatch(text) is not None and all(int(part) <= 255 for part in text.split("."))


class Address(NamedTuple):
    """IPv4 address and port on which a process listens.

    Attributes
    ----------
    host : str
        IPv4 address in dotted notation; host names are not resolved.
    port : int
        Port, 1 to 65535.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: object) -> "Address":
        """Parse ``a.b.c.d:port``; an `Address` is returned unchanged.

        Raises
        ------
        ValueError
            If `text` is not a valid IPv4 address with a port.
        """
        if isinstance(text, Address):
            return text
        match = _ADDRESS.fullmatch(text) if isinstance(text, str) else None
        if match is None or not is_ipv4(match["host"]) or not 0 < int(match["port"]) <= _MAX_PORT:
            raise ValueError("must be an IPv4 address with a port, such as 10.0.0.1:7100")
        return cls(match["host"], int(match["port"]))
