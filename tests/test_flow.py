"""Values far larger than a buffer, both ways, slow and in pieces; each conversation compared with the one kept."""

from __future__ import annotations

import asyncio

import uvloop

from saltmoor.net.flow import Budget
from tests.helper import VALUE, Caller, Town, TraceCase, read


class Large(TraceCase):
    def play(self, name: str, scene, **changed) -> None:
        async def run() -> Town:
            async with Town(**changed) as town:
                await scene(town)
            return town

        self.check(name, uvloop.run(asyncio.wait_for(run(), 30)))

    async def take(self, caller: Caller, key: str, tag: str, pause: float = 0.0) -> None:
        """Read a large value, slowly if asked; note how it came."""
        caller.say(read(key, tag))
        head = (await asyncio.wait_for(caller.reader.readline(), 5)).decode()
        got, pieces = bytearray(), 0
        while len(got) < len(VALUE) + 2 and (piece := await asyncio.wait_for(caller.reader.read(9973), 5)):
            got, pieces = got + piece, pieces + 1
            if pause and pieces % 40 == 0:
                await asyncio.sleep(pause)
        whole = got == VALUE + b"\r\n"
        begun = VALUE.startswith(got) or got[: len(VALUE)] == VALUE
        caller.town.note(f"hears {head!r}, whole: {whole}, all that came as made: {begun}")

    def test_a_large_value_is_passed_on_in_pieces(self):
        """Guards against values held whole, and against a broken one that its client takes for whole."""

        async def scene(town: Town) -> None:
            one = await town.client()
            await self.take(one, "big", "1")
            await one.ask(read("hit", "2"))
            for i, key in enumerate(("miss-long", "miss-chunked", "miss-toend", "big")):
                await self.take(one, key, f"3{i}")
            for i, key in enumerate(("bigcut", "bigbad", "miss-cut")):
                await self.take(await town.client(), key, f"4{i}")
            town.codes("client")
            town.note(f"memory for values given back: {town.service.budget.used}")

        self.play("flow-reads", scene)

    def test_a_slow_reader_slows_nobody_else_and_outlives_its_limit(self):
        async def scene(town: Town) -> None:
            slow, other = await town.client(), await town.client()
            taking = asyncio.create_task(self.take(slow, "big", "1", 0.25))
            await asyncio.sleep(0.3)
            began = asyncio.get_running_loop().time()
            await other.ask(read("hit", "2"))
            town.note(f"in time: {asyncio.get_running_loop().time() - began < 0.2}")
            await taking

        self.play("flow-slow", scene)

    def test_large_writes_wait_for_memory_and_small_ones_do_not(self):
        """Guards against memory over the limit, and against small writes that wait behind large ones."""

        async def scene(town: Town) -> None:
            many = [await town.client() for _ in range(8)]
            town.note = lambda text: None

            async def put(i: int, one: Caller) -> bytes:
                one.writer.write(b"ms farm %d O%d Pc=put,t=acme,d=900,k=77\r\n" % (len(VALUE), i))
                for at in range(0, len(VALUE), 299_993):
                    one.writer.write(VALUE[at : at + 299_993])
                    await one.writer.drain()
                    await asyncio.sleep(0.01)
                one.writer.write(b"\r\n")
                return await one.reader.readline()

            writes = [asyncio.create_task(put(i, one)) for i, one in enumerate(many)]
            await asyncio.sleep(0.1)
            town.lines.append(f"used: {town.service.budget.used / len(VALUE):.0f} values")
            other = await town.client()
            other.writer.write(b"ms farm 9000 O9 Pc=put,t=acme,d=900,k=78\r\n" + VALUE[:9000] + b"\r\n")
            town.lines.append(f"small: {(await asyncio.wait_for(other.reader.readline(), 0.5)).decode()!r}")
            half = await town.client()
            half.writer.write(b"ms farm %d O10 Pc=put,t=acme,d=900,k=79\r\n" % len(VALUE))
            await half.writer.drain()
            half.writer.close()  # its client has left while it waits, or has some
            wrong = await town.client()  # its value does not end where its length says
            wrong.writer.write(b"ms farm 50000 O11 Pc=put,t=acme,d=900,k=80\r\n" + VALUE[:50_003] + b"\r\n")
            town.lines.append(f"wrong: {(await asyncio.wait_for(wrong.reader.readline(), 5)).decode()!r}")
            for write in writes:
                town.lines.append(f"large: {(await asyncio.wait_for(write, 9)).decode()!r}")
            await asyncio.sleep(0.3)
            town.lines.append(f"memory for values given back: {town.service.budget.used}")

        self.play("flow-writes", scene, limits={"memory_mb": 48})


class Memory(TraceCase):
    def test_room_goes_in_turn_and_comes_back(self):
        self.lines = []

        async def run() -> None:
            budget = Budget(1_000_000)
            asked = {
                name: asyncio.create_task(budget.take(size))
                for name, size in (
                    ("large 1", 700_000),
                    ("large 2", 300_000),
                    ("large 3", 100_000),
                    ("small 1", 60_000),
                )
            }

            async def show(what: str) -> None:
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                have = [name for name, task in asked.items() if task.done() and not task.cancelled()]
                self.lines.append(f"{what}: used {budget.used}, have {', '.join(have)}")

            await show("asked")
            asked["large 2"].cancel()
            await show("large 2 has left")
            budget.give_back(700_000)
            await show("large 1 gives back")
            budget.give_back(100_000)
            budget.give_back(60_000)
            await show("all give back")

        uvloop.run(run())
        self.check("flow-budget", self)
