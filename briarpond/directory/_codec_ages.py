"""Ages on the wire: whole milliseconds, rounded so that nothing looks younger than it is."""

# Ages above this are sent as this; the receiver treats both as unknown.
MAX_AGE_S = 1_000_000.0


def age_to_ms(age_s: float) -> int:
    """Return an age in milliseconds, rounded up so that it never looks younger."""
    return -int(-min(age_s, MAX_AGE_S) * 1000 // 1)


def age_from_ms(age_ms: int) -> float:
    """Return an age in seconds.

    Raises
    ------
    ValueError
        If the age is negative.
    """
    if age_ms < 0:
        raise ValueError(f"negative age {age_ms}")
    return float("inf") if age_ms >= MAX_AGE_S * 1000 else age_ms / 1000
