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


def lowest_unused_term(era: int, generation: int, highest_used: int, is_own: bool) -> int:
    """Return the term of a generation, without the era as long as that is higher than all used.

    Releases up to 0.7 know no eras, and their terms are plain generations. A higher one before them
    would keep their plans from being used and their orders from being obeyed.

    Parameters
    ----------
    era : int
        Era of the store that named the generation.
    generation : int
        Number of the group's members' changes.
    highest_used : int
        Highest term that is known to be in use.
    is_own : bool
        Whether this node has used the plain generation as its term since the store named it.
    """
    is_free = generation > highest_used or (is_own and generation == highest_used)
    return generation if is_free else lease_term(era, generation)
