"""What was taken in the fullest window, and what a named limit allows."""

LIMIT_WINDOW_S = 4.0


def limit_allows(per_s: float) -> float:
    """Return what a limit allows in any window of so many seconds."""
    return 1.5 * LIMIT_WINDOW_S * per_s + 5


def most_in_window(
    taken: list[tuple[float, float]],
    window_s: float,
) -> float:
    """Return the largest sum of amounts within any window of this length."""
    ordered = sorted(taken)
    most: float = 0
    held: float = 0
    end = 0
    for start, amount in ordered:
        while end < len(ordered) and ordered[end][0] < start + window_s:
            held += ordered[end][1]
            end += 1
        most = max(most, held)
        held -= amount
    return most
