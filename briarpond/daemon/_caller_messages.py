"""Bodies of callers' requests and of the answers that the node gives itself."""

from typing import Any

import msgspec

# Tokens charged to the account for a request that sets no limit of its own.
DEFAULT_MAX_TOKENS = 512


class _Message(msgspec.Struct):
    content: Any = None


class ModelRequest(msgspec.Struct):
    """The fields of a model request that the node itself reads.

    The body is sent to the backend server unchanged, with all other fields.

    Attributes
    ----------
    model : str
        ``MODEL`` or ``MODEL:ADAPTER``.
    max_tokens, max_completion_tokens : int or None
        Older and newer name of the limit on generated tokens; the newer one wins.
    """

    model: str
    messages: list[_Message] = []
    prompt: Any = None
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def token_limit(self) -> int:
        """Highest number of tokens that the request may generate, at least 1."""
        bound = self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        return max(1, bound)

    def prompt_texts(self) -> list[str]:
        """Return the texts of the prompt, one for each message.

        Content that is no string, such as a list of parts, is given by its `repr`.
        """
        contents = [message.content for message in self.messages] or [self.prompt]
        return [text if isinstance(text, str) else repr(text) for text in contents]


class ModelRow(msgspec.Struct):
    """One model or adapter in the form of the public model API."""

    id: str
    created: int = 0
    object: str = "model"
    owned_by: str = "briarpond"


class ModelList(msgspec.Struct):
    """Answer to ``GET /v1/models``."""

    data: list[ModelRow]
    object: str = "list"


class Health(msgspec.Struct):
    """Answer to ``GET /health`` and ``GET /ready``.

    Attributes
    ----------
    stage : str
        Stage of the node's shutdown, ``serving`` in normal operation.
    log : str
        How far the node has folded the log: a value of `TailStatus`.
    config_version : int
        Version of the configuration in force on this node.
    in_contact : bool
        Whether the folded state is recent enough for non-idempotent requests.
    """

    node: str
    stage: str
    log: str
    config_version: int
    in_contact: bool
