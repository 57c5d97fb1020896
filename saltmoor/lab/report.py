"""Owns the page on finished runs: tables, and plots over time with the faults marked. It only reads results."""

from __future__ import annotations

import base64
import io
import json
from html import escape
from pathlib import Path
from typing import Any

from saltmoor.lab.scenario import Faulty

STYLE = (
    "body{font:15px/1.5 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}td,th{padding:.15em .8em;text-align:right;"
    "border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}"
    ".broken{color:#b00020;font-weight:bold}img{max-width:100%}"
)
HEAD = (
    "in_time",
    "service",
    "refused",
    "failed",
    "unanswered",
    "p50_ms",
    "p99_ms",
    "hops_per_tx",
    "hit_share",
    "breaches",
)


def read(path: Path) -> list[dict[str, Any]]:
    """The results in one file: of a run, or of a comparison."""
    try:
        said = json.loads(path.read_text())
        results = [one for side in ("A", "B") for one in said[side]] if "A" in said else [said]
        for one in results:
            one["scenario"], one["figures"], one["bounds"], one["series"]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise Faulty(f"{path}: holds no results ({error!r})") from None
    return results


def picture(result: dict[str, Any]) -> str:
    """Six small plots over one time axis, as an image in the page."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    series = result["series"]
    seconds = range(len(series["offered"]))
    at, samples = [one[0] for one in series["samples"]], [one[1] for one in series["samples"]]
    fetched = [(b["fetches"] - a["fetches"]) * 4 for a, b in zip(samples, samples[1:])]
    plots = [
        ("in time, share", [(seconds, series["in_time"], "")]),
        ("offered, a second", [(seconds, series["offered"], "")]),
        ("time until served, ms", [(seconds, series["p50_ms"], "median"), (seconds, series["p99_ms"], "99%")]),
        (
            "held at a server",
            [(at, [one["held_most"] for one in samples], "most"), (at, [one["held_mean"] for one in samples], "mean")],
        ),
        ("hops a transaction", [(seconds, series["hops_per_tx"], "")]),
        ("fetches, a second", [(at[1:], fetched, "")]),
    ]
    figure, axes = pyplot.subplots(3, 2, figsize=(11, 8), sharex=True, layout="constrained")
    for axis, (title, lines) in zip(axes.flat, plots):
        for x, y, label in lines:
            axis.plot(x, y, linewidth=1.2, label=label or None)
        axis.set_title(title, fontsize=10)
        axis.set_ylim(bottom=0)
        axis.grid(alpha=0.3)
        if lines[0][2]:
            axis.legend(fontsize=8)
        for when, what in series["marks"]:
            style = ":" if what.endswith("ends") else "--"
            axis.axvline(when, color="#b00020", linewidth=0.8, linestyle=style)
    for when, what in series["marks"]:
        axes[0][0].text(when, 0.02, what, rotation=90, fontsize=7, color="#b00020", va="bottom")
    for axis in axes[-1]:
        axis.set_xlabel("seconds")
    kept = io.BytesIO()
    figure.savefig(kept, format="png", dpi=90)
    pyplot.close(figure)
    return (
        f'<img alt="{escape(result["scenario"])} over time" src="data:image/png;base64,'
        f'{base64.b64encode(kept.getvalue()).decode()}">'
    )


def table(heads: list[str], rows: list[list[Any]]) -> str:
    top = "".join(f"<th>{escape(str(one))}</th>" for one in heads)
    body = "".join("<tr>" + "".join(f"<td>{escape(str(one))}</td>" for one in row) + "</tr>" for row in rows)
    return f"<table><tr>{top}</tr>{body}</table>"


def section(result: dict[str, Any]) -> str:
    name = f"<h2>{escape(result['scenario'])}, seed {result['seed']}, {escape(result['build'])}</h2>"
    if result["void"]:
        return name + "".join(f'<p class="broken">Void: {escape(why)}</p>' for why in result["void"])
    bounds = [
        [
            one["name"],
            "at least" if one["least"] else "at most",
            one["limit"],
            one["figure"],
            "held" if one["held"] else "BROKEN",
        ]
        for one in result["bounds"]
    ]
    breaches = "".join(f'<p class="broken">{escape(one)}</p>' for one in result["breaches"][:20])
    return (
        name
        + picture(result)
        + table(["bound", "", "limit", "figure", ""], bounds)
        + breaches
        + table(["figure", ""], [[key, value] for key, value in result["figures"].items()])
    )


def write(files: list[Path], html: Path) -> int:
    results = [one for path in files for one in read(path)]
    rows = [
        [one["scenario"], one["seed"], one["build"]]
        + (["void"] + [""] * (len(HEAD) - 1) if one["void"] else [one["figures"].get(key, "") for key in HEAD])
        for one in results
    ]
    html.write_text(
        f'<!doctype html><meta charset="utf-8"><title>saltmoor lab</title><style>{STYLE}</style>'
        f"<h1>saltmoor lab</h1><p>Measured on loopback with stand-in servers.</p>"
        + table(["scenario", "seed", "build", *HEAD], rows)
        + "".join(map(section, results))
    )
    print(f"{html}: {len(results)} runs")
    held = all(not one["void"] and all(bound["held"] for bound in one["bounds"]) for one in results)
    return 0 if held else 1
