"""Owns the arrivals of a run: drawn ahead from a seed, kept in a file, read from one.

The file is numpy's .npz with two entries: `arrivals`, an array with the fields of `FIELDS`, and `about`, a
JSON text with `format` (1), `profiles`, `tenants` and `length_s`. It must never hold what came of an arrival.
"""

from __future__ import annotations

import json
from math import log, sqrt
from pathlib import Path

import numpy as np

from saltmoor.lab.scenario import Faulty, Hot, Profile, Scan, Scenario

FIELDS = np.dtype(
    [
        ("at", "i8"),  # microseconds after the run's begin
        ("profile", "u2"),
        ("tenant", "u2"),  # places in the lists of names
        ("key", "u8"),  # an opaque number; the key's text is derived from it
        ("work", "u4"),  # microseconds at a core of speed 1
        ("size", "u4"),  # bytes of the value
        ("chance", "f8"),  # for all that is drawn while the transaction lives
    ]
)
GRID = 0.01  # seconds; the rate is taken as even within


def rates(scenario: Scenario) -> np.ndarray:
    """The rate of arrivals in each step of the grid, a second."""
    load, times = scenario.load, np.arange(0, scenario.length_s, GRID)
    rate = np.full(len(times), load.rate)
    if load.shape:
        seconds, multiples = zip(*load.shape)
        rate *= np.interp(times, seconds, multiples)
    for burst in load.burst:
        rate[times % burst.every_s < burst.for_s] *= burst.times
    return rate


def popularity(scenario: Scenario) -> np.ndarray:
    """The share of each rank."""
    weights = 1.0 / (np.arange(scenario.load.keys) + 1 + scenario.load.offset) ** scenario.load.zipf
    return weights / weights.sum()


def key_text(number: int) -> bytes:
    return b"%016x" % int(number)


def scramble(numbers: np.ndarray) -> np.ndarray:
    """Opaque numbers out of small ones, each its own."""
    with np.errstate(over="ignore"):
        mixed = numbers.astype(np.uint64) * np.uint64(0x9E3779B97F4A7C15)
        return mixed ^ (mixed >> np.uint64(29))


def drawn(profiles: list[Profile], which: np.ndarray, rng: np.random.Generator) -> np.ndarray:
    """Work of each, lognormal about its profile's mean."""
    mean = np.array([one.work_ms * 1000 for one in profiles])[which]
    sigma = np.array([sqrt(log(1 + one.cv**2)) for one in profiles])[which]
    return mean * np.exp(rng.standard_normal(len(which)) * sigma - sigma**2 / 2)


def within(span: Scan | Hot, at: np.ndarray) -> np.ndarray:
    return (at >= span.from_s) & (at < span.from_s + span.for_s)


def draw(scenario: Scenario, seed: int) -> np.ndarray:
    """Poisson arrivals at the scenario's rate, whatever becomes of them."""
    rng = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 1])))
    load = scenario.load
    gathered = np.concatenate([[0.0], np.cumsum(rates(scenario) * GRID)])
    count = rng.poisson(gathered[-1])
    grid = np.minimum(np.arange(len(gathered)) * GRID, scenario.length_s)
    at = np.interp(np.sort(rng.random(count)) * gathered[-1], gathered, grid)
    came = np.zeros(count, FIELDS)
    came["at"] = at * 1e6
    shares = np.array([one.share for one in scenario.profile])
    came["profile"] = rng.choice(len(shares), count, p=shares / shares.sum())
    shares = np.array([one.share for one in scenario.tenant])
    came["tenant"] = rng.choice(len(shares), count, p=shares / shares.sum())
    rank = np.searchsorted(np.cumsum(popularity(scenario)), rng.random(count)).clip(max=load.keys - 1)
    # With drift each rank is taken by a new key now and then, at moments of its own.
    phase = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 2]))).random(load.keys)
    number = rank + load.keys * np.floor(at * load.drift + phase[rank]).astype(np.int64)
    read = ~np.array([one.write for one in scenario.profile])[came["profile"]]
    for span in load.hot:
        hot = read & within(span, at) & (rng.random(count) < span.share)
        number[hot] = load.keys - 1
    for i, span in enumerate(load.scan):
        asked = read & within(span, at) & (rng.random(count) < span.share)
        number[asked] = (1 << 40) * (i + 1) + np.arange(count)[asked]
    came["key"] = scramble(number)
    came["work"] = drawn(scenario.profile, came["profile"], rng).clip(min=10, max=4e9)
    came["size"] = np.array([one.value_bytes for one in scenario.profile])[came["profile"]]
    came["chance"] = rng.random(count)
    return came


def save(path: Path, arrivals: np.ndarray, scenario: Scenario) -> None:
    about = {
        "format": 1,
        "profiles": [one.name for one in scenario.profile],
        "tenants": [one.name for one in scenario.tenant],
        "length_s": scenario.length_s,
    }
    with path.open("wb") as file:
        np.savez_compressed(file, arrivals=arrivals, about=np.array(json.dumps(about)))


def replay(path: Path, scenario: Scenario) -> np.ndarray:
    """Arrivals that were kept, for a scenario with the same profiles and tenants."""
    try:
        with np.load(path, allow_pickle=False) as kept:
            arrivals, about = kept["arrivals"], json.loads(str(kept["about"]))
    except (OSError, ValueError, KeyError) as error:
        raise Faulty(f"load.replay: {path} holds no arrivals ({error})") from None
    if arrivals.dtype != FIELDS or about.get("format") != 1:
        raise Faulty(f"load.replay: {path} is of another format")
    for name, own in (("profiles", scenario.profile), ("tenants", scenario.tenant)):
        if about[name] != [one.name for one in own]:
            raise Faulty(f"load.replay: {name} differ from the scenario's")
    return arrivals[arrivals["at"] < scenario.length_s * 1e6]


def warm_keys(scenario: Scenario, seed: int) -> tuple[list[bytes], list[int]]:
    """What servers hold when a run begins: the keys of its start, the most popular last."""
    phase = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 2]))).random(scenario.load.keys)
    ranks = np.arange(scenario.load.keys)[::-1]
    keys = scramble(ranks + scenario.load.keys * np.floor(phase[ranks]).astype(np.int64))
    size = next((one.value_bytes for one in scenario.profile if not one.write), 100)
    return [key_text(key) for key in keys], [size] * len(keys)
