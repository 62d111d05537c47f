"""Sliding-window helpers for tests of rate limits and quotas."""

LIMIT_WINDOW_S = 4.0


def limit_allows(per_s: float) -> float:
    """Return how many requests a limit allows in any LIMIT_WINDOW_S."""
    return 1.5 * LIMIT_WINDOW_S * per_s + 5


def most_in_window(
    amounts: list[tuple[float, float]],
    window_s: float,
) -> float:
    """Return the largest sum of amounts within any window of this length."""
    ordered = sorted(amounts)
    most: float = 0
    in_window: float = 0
    end = 0
    for start, amount in ordered:
        while end < len(ordered) and ordered[end][0] < start + window_s:
            in_window += ordered[end][1]
            end += 1
        most = max(most, in_window)
        in_window -= amount
    return most
