"""Owns how a node gets what it lacks of the replicated table, and gives others what they lack: pulls, over streams.

`replica/anti_entropy.py` says whom to pull from and when. It must never hold up who serves: what it gives goes at a bounded
rate, what it takes is merged some at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Iterator

from saltmoor.model import Micros
from saltmoor.net.peers.messenger import Messenger
from saltmoor.net.peers.streams import CALL_WAIT, FrameStream, Streams
from saltmoor.peers import frames
from saltmoor.peers.frames import Strange
from saltmoor.peers.messages import MessageType, PullEnd, PullRequest
from saltmoor.replica.anti_entropy import Pull, PullSchedule
from saltmoor.replica.entries import Entry, Store

CHUNK = 64  # entries in one frame of a stream
CHUNK_BYTES = 60_000  # of one frame's entries, about
MERGED_MOST = 4 * CHUNK  # entries taken of one frame
RANGES_MOST = 512  # given in one answer
ENTRY_OVERHEAD = 40  # bytes of an entry beside its key and body, about


def chunks(entries: Iterable[Entry]) -> Iterator[list[Entry]]:
    """The entries in order, in groups of which each fits into a frame of a stream."""
    chunk, size = [], 0
    for entry in entries:
        chunk.append(entry)
        size += len(entry.body) + len(entry.key) + ENTRY_OVERHEAD
        if len(chunk) >= CHUNK or size > CHUNK_BYTES:
            yield chunk
            chunk, size = [], 0
    if chunk:
        yield chunk


class AntiEntropy:
    """Pulls as `schedule` says and hands what comes to `merge`; answers the pulls of others at `rate` bytes a second."""

    def __init__(
        self,
        messenger: Messenger,
        streams: Streams,
        store: Store,
        schedule: PullSchedule,
        *,
        merge: Callable[[Micros, Entry], None],
        rate: int,
        clock: Callable[[], Micros],
        spawn: Callable[[Coroutine], None],
    ) -> None:
        self.messenger, self.streams, self.store, self.schedule = messenger, streams, store, schedule
        self.merge, self.rate, self.clock, self.spawn = merge, rate, clock, spawn
        streams.route(MessageType.PULL, PullRequest, self.give)

    def tick(self, now: Micros) -> None:
        """Begin the pulls that are due."""
        there = self.messenger.members.there() if self.messenger.sockets.is_open else []
        for pull in self.schedule.next(now, there):
            self.spawn(self.pull(pull))

    # Given.

    async def give(self, stream: FrameStream, request: PullRequest) -> None:
        """What a peer lacks, at a bounded rate: who returns must not hold up who serves."""
        seq = self.store.seq
        for chunk in chunks(self.wanted(self.clock(), request)):
            count = await stream.write(self.messenger.encode(MessageType.ENTRIES, chunk))
            self.messenger.traffic.given_bytes += count
            await asyncio.sleep(count / self.rate)
        end = PullEnd(self.store.epoch, seq, self.store.digests)
        await stream.write(self.messenger.encode(MessageType.PULL_END, end))

    def wanted(self, now: Micros, request: PullRequest) -> Iterable[Entry]:
        if request.ranges:
            return self.store.ranges(now, request.ranges[:RANGES_MOST])
        return self.store.since(now, request.seq if request.epoch == self.store.epoch else 0)

    # Taken.

    async def pull(self, pull: Pull) -> None:
        """Take what that peer has; the schedule hears how it went."""
        try:
            async with asyncio.timeout(CALL_WAIT):
                end = await self.take(pull)
            differ = self.store.compare(end.digests)
            self.schedule.done(self.clock(), pull.name, end.epoch, end.seq, differ)
        except (OSError, TimeoutError, Strange) as error:
            self.messenger.traffic.drop(str(error) if isinstance(error, Strange) else "pull")
            self.schedule.failed(self.clock(), pull.name)
        except Exception as error:
            self.messenger.log(f"fault in a pull: {type(error).__name__}: {error}")
            self.schedule.failed(self.clock(), pull.name)

    async def take(self, pull: Pull) -> PullEnd:
        """Merge what that peer gives, until it says that this is all; `Strange` where it does not."""
        address = self.messenger.address_of(pull.name)
        if not address:
            raise Strange("not known")
        request = PullRequest(pull.epoch, pull.seq, pull.ranges)
        stream = await self.streams.ask(address, MessageType.PULL, request)
        try:
            while (data := await stream.read()) is not None:
                frame = frames.decode(data, self.messenger.given.cluster)
                if frame.message_type == MessageType.ENTRIES:
                    self.merge_some(frames.content(frame, list[Entry]))
                    await asyncio.sleep(0)
                elif frame.message_type == MessageType.PULL_END:
                    return frames.content(frame, PullEnd)
            raise Strange("cut off")
        finally:
            stream.sock.close()

    def merge_some(self, entries: list[Entry]) -> None:
        now = self.clock()
        for entry in entries[:MERGED_MOST]:
            self.merge(now, entry)
