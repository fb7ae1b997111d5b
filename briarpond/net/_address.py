"""Socket addresses."""

import re
from typing import NamedTuple

_ADDRESS = re.compile(r"^(?P<host>\d{1,3}(?:\.\d{1,3}){3}):(?P<port>\d{1,5})$")
_MAX_PORT = 65535


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
        match = _ADDRESS.match(text) if isinstance(text, str) else None
        if match is None or not 0 < int(match["port"]) <= _MAX_PORT:
            raise ValueError("must be an IPv4 address with a port, such as 10.0.0.1:7100")
        if any(int(part) > 255 for part in match["host"].split(".")):
            raise ValueError("must be an IPv4 address with a port, such as 10.0.0.1:7100")
        return cls(match["host"], int(match["port"]))
