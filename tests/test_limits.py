"""Admission on a scripted clock: a node whose CPU is a queue, under loads that it can and cannot carry."""

from random import Random

from saltmoor.limits.admission import STEP, Admission
from tests.helper import TraceCase

SECOND = 1_000_000
SERVE, SHED = 400, 60  # microseconds of CPU for a transaction that is served, and for one that is turned away


class Core:
    """One core that does work in turn; `part` of it is the node's. Lateness is the work that waits."""

    def __init__(self, gate: Admission, seed: int = 1) -> None:
        self.gate, self.rng, self.now, self.waits = gate, Random(seed), 0, 0.0
        self.part, self.done, self.late, self.modes = 1.0, {}, [], []

    def play(self, seconds: float, rate: float, kinds=((0, None, False),)) -> str:
        """Arrivals of these kinds (profile, tenant, again), each as often; what was taken and how late it is."""
        self.done, came, self.late = dict.fromkeys(kinds, 0), dict.fromkeys(kinds, 0), []
        end = self.now + int(seconds * SECOND)
        step, owed = 5_000, 0.0
        while self.now < end:
            self.now += step
            self.waits = max(0.0, self.waits - step * self.part)
            owed += rate * step / SECOND
            reads = self.gate.reads(step) if self.gate.limit else 1e9
            while owed >= 1 and reads >= 1:
                owed, reads = owed - 1, reads - 1
                kind = kinds[self.rng.randrange(len(kinds))]
                came[kind] += 1
                taken = self.gate.arrived(self.now, *kind)
                self.done[kind] += taken
                self.waits += SERVE if taken else SHED
            owed = min(owed, 340.0)  # clients have so many connections
            self.late.append(self.waits / self.part)
            if line := self.gate.ran(self.now, int(self.waits / self.part)):
                self.modes.append(line.split(":")[0])
        half = sorted(self.late[len(self.late) // 2 :])
        shares = " ".join(f"{self.done[kind] / max(1, came[kind]):.1f}" for kind in kinds)
        return (
            f"{sum(self.done.values()) / seconds / 100:3.0f}00/s taken, shares {shares}, "
            f"late {'long' if half[len(half) // 2] > 15_000 else 'short'}"
        )


def gate(**changed) -> Admission:
    return Admission(
        **{"target": 3_750, "revenues": [2.0, 8.0], "quotas": [], "longest_hint": SECOND, "seed": 1, "now": 0} | changed
    )


class Limits(TraceCase):
    def told(self, name: str, lines: list[str]) -> None:
        self.lines = lines
        self.check(name, self)

    def test_the_best_rate_is_found_at_any_load(self):
        """The core can do 2,500 a second: at 2, 4 and 8 times that it still does most, and all when it falls."""
        core, lines = Core(gate()), []
        for seconds, rate in ((3, 1200), (4, 2500), (4, 5000), (4, 10_000), (4, 20_000), (3, 1200)):
            lines.append(f"{rate} offered: {core.play(seconds, rate)}; {' '.join(core.modes)}")
            core.modes.clear()
        self.told("limits-rates", lines)

    def test_part_of_the_core_goes_and_comes_back(self):
        core, lines = Core(gate()), []
        for part in (1.0, 0.4, 1.0):
            core.part = part
            lines.append(f"{part} of the core: {core.play(5, 4000)}")
        self.told("limits-core", lines)

    def test_a_pause_is_no_overload(self):
        """Guards against a process stopped for 300 ms that turns away for seconds afterwards."""
        core = Core(gate())
        core.play(1, 1000)
        core.waits += 300 * SERVE  # what came meanwhile
        self.told("limits-pause", [core.play(3, 1000), f"modes: {core.modes}"])

    def test_what_is_worth_most_is_taken_first(self):
        """High revenue first, then first tries, then retries; a tenant beyond its share last."""
        core = Core(gate(quotas=[0.0, 300.0]))
        kinds = ((1, 0, False), (0, 0, False), (0, 0, True), (1, 1, False))
        lines = [f"writes, reads, retried reads, writes of a tenant beyond its share: {core.play(8, 8000, kinds)}"]
        self.told("limits-value", lines)

    def test_hints_lengthen_with_retries_and_spread(self):
        one, lines = gate(), []
        for again in (False, True):
            for i in range(200):
                one.arrived(one.now + i, 0, None, again)
                if i % 10 == 9:
                    one.ran(one.now + STEP, 0)
            hints = sorted(one.hint() // 1000 for _ in range(200))
            lines.append(f"retries {again}: hints from {hints[0]} to {hints[-1]} ms")
        lines.append(f"where clients take none: {gate(longest_hint=0).hint()}")
        self.told("limits-hints", lines)

    def test_settings_change_and_what_was_learnt_stays(self):
        core = Core(gate())
        core.play(3, 8000)
        before = core.gate.limit
        core.gate.configure(core.now, 3_750, [2.0, 8.0], [10.0], 0)
        self.told(
            "limits-change",
            [
                f"limited {before > 0}, kept {core.gate.limit == before}",
                core.play(2, 8000, ((0, 0, False), (0, None, False))),
            ],
        )
