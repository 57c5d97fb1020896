"""The facade on a scripted clock: which steps are handed out, and what the module is told of their ends."""

import asyncio

from saltmoor import facade, model
from saltmoor.model import Ended
from tests.helper import MS, READ, Script, TraceCase


class Steps(TraceCase):
    def setUp(self):
        self.now, self.lines = 1000 * MS, []
        node = Script(servers=2).node
        told = node.hop_ended
        node.hop_ended = lambda now, end: (self.note(f"  told hop {end.hop} {end.ended.value[0]}"), told(now, end))
        known = [model.Member(one, 0, 0, 0, model.Readiness.READY, 1.0, 0) for one in (1, 2)]
        self.door = facade.Facade(
            node, known, columns=["queue"], clock=lambda: self.now, nudge=lambda: None, log=self.note
        )

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now // MS:5} {text}")

    def tick(self, later: int = 0) -> list[facade.Errand]:
        self.now += later * MS
        errands, _ = self.door.tick()
        for errand in errands:
            self.note(f"errand {type(errand).__name__.lower()} {getattr(errand, 'server', '')}")
        return errands

    async def pick(self, tx: facade.Tx) -> facade.Step:
        """The next step; every queue that is asked for meanwhile is 1."""
        picking = asyncio.create_task(self.door.pick(tx))
        await asyncio.sleep(0)
        for errand in self.tick():
            if isinstance(errand, facade.Probe):
                self.door.report(errand, Ended.COMMITTED, load={"queue": 1.0})
        step = await picking
        match step:
            case facade.Send():
                self.note(f"send hop {step.hop} to {step.server}, wait {(step.until - self.now) // MS} ms")
            case _:
                self.note(f"{type(step).__name__.lower()}, stop {step.stop}")
        return step

    async def begun(self, left: int = 900) -> tuple[facade.Tx, facade.Send]:
        tx = facade.Tx(READ, None, 7, self.now + left * MS, False)
        return tx, await self.pick(tx)

    def test_steps_of_transactions(self):
        """Guards against a hop stopped at its time's end that would teach nothing of its server."""

        async def scene() -> None:
            tx, hop = await self.begun()
            self.door.report(hop, Ended.ERROR)
            again = await self.pick(tx)
            self.door.report(again, Ended.COMMITTED, answer=b"value")
            await self.pick(tx)
            self.door.report(again, Ended.COMMITTED, answer=b"late")  # nothing more comes of it
            tx, hop = await self.begun(left=300)
            self.tick(later=300)
            await self.pick(tx)
            self.door.report(hop, Ended.CANCELLED)
            tx, hop = await self.begun()
            self.door.leave(tx)
            await self.pick(tx)
            self.door.report(hop, Ended.CANCELLED)
            gone = facade.Tx(READ, None, 7, self.now + 900 * MS, False)
            self.door.leave(gone)
            await self.pick(gone)
            self.note(f"kept: {len(self.door.txs)} transactions, {len(self.door.node.txs)} in the module")

        asyncio.run(asyncio.wait_for(scene(), 5))
        self.check("facade", self)
