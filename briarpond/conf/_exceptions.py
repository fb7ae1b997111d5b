"""Problems found in a settings file."""

import msgspec


class SettingsProblem(msgspec.Struct, frozen=True):
    """One reason why settings are not accepted.

    Attributes
    ----------
    code : str
        Stable code, ``conf.E001`` and up, listed in ``docs/ref/settings.md``.
    path : str
        Dotted path of the key.
    message : str
        What is wrong.
    hint : str
        What to change.
    """

    code: str
    path: str
    message: str
    hint: str

    def __str__(self) -> str:
        """Return the one-line form shown to operators."""
        return f"{self.path}: ({self.code}) {self.message} HINT: {self.hint}"
