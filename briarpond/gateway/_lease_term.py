"""Terms of the planner's lease, which rise also where the store has come back from a copy."""

# Generations of the lease group that one era of the store can count.
GENERATIONS_PER_ERA = 10_000_000


def lease_term(era: int, generation: int) -> int:
    """Return the term of a generation of the lease group.

    Parameters
    ----------
    era : int
        Era of the store that named the generation.
    generation : int
        Number of the group's members' changes. In a later era it begins with a lower number.
    """
    return era * GENERATIONS_PER_ERA + min(generation, GENERATIONS_PER_ERA - 1)


def era_of_term(term: int) -> int:
    """Return the era of the store to which a term belongs."""
    return term // GENERATIONS_PER_ERA
