"""Owns what a node learns of its attempts: how long an answer may take.

It must never send, choose a server, or read a clock.
"""

from __future__ import annotations

from saltmoor.model import Hop, Micros

LATE_ANSWERS = 0.005  # of the answers that come: after them an answer counts as lost


class Patience:
    """How often its expected delay a hop is given before its answer counts as lost.

    Guards against slow work taken for lost answers: where times vary widely, or a miss is fetched on the way,
    what was sent later is often answered first. Of the answers that come at all few may come after that.
    """

    def __init__(self) -> None:
        self.times = 1.5

    def learn(self, hop: Hop, elapsed: Micros) -> None:
        step = 0.1 if elapsed > hop.patience else -0.1 * LATE_ANSWERS / (1 - LATE_ANSWERS)
        self.times = min(12.0, max(1.5, self.times * (1 + step)))
