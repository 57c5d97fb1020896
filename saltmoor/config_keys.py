"""Names the keys of a configuration and the variables of an environment, for the log: never a value of either.

What a node was told, and in which words, can be read from its log then, also where it knows no meaning for it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

VARIABLES = "ROUTER_"  # what variables that are meant for a node begin with
DEEPEST = 8  # objects inside each other whose keys are named
MOST_NAMES = 300


def key_names(said: Any) -> tuple[str, ...]:
    """The keys at every depth, dotted; `[]` stands for each element of a list. Sorted, at most `MOST_NAMES`."""
    return tuple(sorted(set(_walk(said, "", 0)))[:MOST_NAMES])


def _walk(said: Any, path: str, depth: int) -> Iterator[str]:
    if depth > DEEPEST:
        return
    if isinstance(said, list):
        for one in said:
            yield from _walk(one, f"{path}[]", depth + 1)
    elif isinstance(said, Mapping):
        for name, value in said.items():
            inner = f"{path}.{name}" if path else str(name)
            yield inner
            yield from _walk(value, inner, depth + 1)


def variable_names(env: Mapping[str, str]) -> tuple[str, ...]:
    """The variables that are meant for a node. Sorted."""
    return tuple(sorted(name for name in env if name.startswith(VARIABLES)))
