"""Owns the picture of a scale run: a figure a node over sizes, a line a series, with the aim. matplotlib draws it."""

from __future__ import annotations

from pathlib import Path

from saltmoor.lab.scale_rows import AIMS, Row

PLOTS = (
    ("bytes_per_s", "control, bytes/s a node, in and out"),
    ("core", "processor time, share of a core"),
    ("pulls_per_s", "pulls/s a node"),
    ("state_bytes", "state, bytes by its own count"),
    ("p50_s", "a change at half of the nodes, s"),
    ("p999_s", "a change at 99.9% of the nodes, s"),
)


def write(rows: list[Row], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 2, figsize=(11, 10), layout="constrained")
    for axis, (name, title) in zip(axes.flat, PLOTS):
        series: dict[str, list[tuple[int, float]]] = {}
        for row in rows:
            if row.void or row.event or "node" not in row.roles:
                continue
            found = (
                getattr(row.spread, name, None)
                if name[0] == "p" and name[-2:] == "_s" and name != "pulls_per_s"
                else getattr(row.roles["node"], name)
            )
            if found is not None:
                label = f"{row.mechanism}, {row.changes_per_s:g}/s, {row.clock}"
                series.setdefault(label, []).append((row.members, found))
        for label, points in series.items():
            points.sort()
            axis.plot(
                [x for x, _ in points],
                [y for _, y in points],
                marker="o",
                markersize=3,
                linewidth=1.2,
                linestyle="--" if label.endswith("real") else "-",
                label=label,
            )
        if name in AIMS:
            axis.axhline(AIMS[name], color="#b00020", linewidth=0.8, linestyle=":")
        axis.set_title(title, fontsize=10)
        axis.set_ylim(bottom=0)
        axis.set_xlabel("members")
        axis.grid(alpha=0.3)
        if series:
            axis.legend(fontsize=7)
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
