"""Problems found in a settings file."""

import msgspec


class SettingsProblem(msgspec.Struct, frozen=True):
    """One reason for which settings are refused.

    Attributes
    ----------
    code : str
        Stable code, such as ``conf.E001``; ``docs/ref/settings.md`` lists all codes.
    path : str
        Dotted path of the key, or path of the file if it cannot be read.
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
        """Return the problem as one line for operators."""
        return f"{self.path}: ({self.code}) {self.message} HINT: {self.hint}"
