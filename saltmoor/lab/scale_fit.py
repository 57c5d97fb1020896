"""Owns slopes: a least-squares line over sizes, its residuals, and how far beyond what was measured it is drawn.

It must never call a drawn-out figure measured.
"""

from __future__ import annotations

import msgspec

from saltmoor.lab.scale_rows import Row

FIGURES = ("bytes_per_s", "messages_per_s", "pulls_per_s", "core", "state_bytes")  # of a role
TIMES = ("p50_s", "p999_s")  # of the spread
FLAT = 0.10  # a figure is flat within so much from FLAT_FROM to the largest size
FLAT_FROM = 60


class Fit(msgspec.Struct):
    """`figure` = at_none + slope * members. `residuals`: measured less fitted, by size."""

    clock: str
    mechanism: str
    changes_per_s: float
    role: str
    figure: str
    at_none: float
    slope: float
    sizes: list[int]
    values: list[float]
    residuals: list[float]
    worst_residual: float  # as a share of what was measured there
    flat: float | None  # the largest size's against FLAT_FROM's, less 1; none where either was not measured


def line(xs: list[float], ys: list[float]) -> tuple[float, float]:
    """Value at none, and slope, by least squares."""
    count, x, y = len(xs), sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((one - x) ** 2 for one in xs)
    slope = sum((a - x) * (b - y) for a, b in zip(xs, ys)) / spread if count > 1 and spread else 0.0
    return y - slope * x, slope


def grown(fit: Fit, members: int) -> tuple[float, float]:
    """What the line says at that size, and how many times the largest measured size that is."""
    return fit.at_none + fit.slope * members, members / max(fit.sizes)


def value(row: Row, role: str, figure: str) -> float | None:
    if role == "":
        return getattr(row.spread, figure) if row.spread and row.spread.changes else None
    return getattr(row.roles[role], figure) if role in row.roles else None


def fits(rows: list[Row]) -> list[Fit]:
    """One for each figure of each calm series with two sizes or more; void rows are left out.

    Guards against a line through runs of different lengths: what is pulled grows over a run's first seconds.
    """
    series: dict[tuple, list[Row]] = {}
    for row in rows:
        if not row.void and not row.event:
            series.setdefault((row.clock, row.mechanism, row.changes_per_s, row.span_s), []).append(row)
    made = []
    for (clock, mechanism, rate, _), some in series.items():
        roles = sorted({role for row in some for role in row.roles})
        for role, figure in [(role, figure) for role in roles for figure in FIGURES] + [("", one) for one in TIMES]:
            points = sorted((row.members, found) for row in some if (found := value(row, role, figure)) is not None)
            if len(points) < 2:
                continue
            sizes, values = [one for one, _ in points], [one for _, one in points]
            at_none, slope = line(sizes, values)
            left = [y - at_none - slope * x for x, y in points]
            at = dict(points)
            flat = at[max(sizes)] / at[FLAT_FROM] - 1 if at.get(FLAT_FROM) and max(sizes) > FLAT_FROM else None
            made.append(
                Fit(
                    clock,
                    mechanism,
                    rate,
                    role,
                    figure,
                    float(f"{at_none:.6g}"),
                    float(f"{slope:.6g}"),
                    sizes,
                    values,
                    [float(f"{one:.4g}") for one in left],
                    round(max(abs(one) / abs(y) if y else 0.0 for one, y in zip(left, values)), 4),
                    None if flat is None else round(flat, 4),
                )
            )
    return made


def strayed(fit: Fit, kept: Fit, within: float) -> list[str]:
    """Where a fit's values leave those of a kept one by more than that share."""
    at = dict(zip(kept.sizes, kept.values))
    return [
        f"{fit.mechanism} at {fit.changes_per_s:g}/s, {fit.role or 'spread'} {fit.figure}, {size} members: "
        f"{found:.5g}, kept {at[size]:.5g}"
        for size, found in zip(fit.sizes, fit.values)
        if size in at and abs(found - at[size]) > within * abs(at[size])
    ]
