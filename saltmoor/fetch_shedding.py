"""Owns which reads a node turns away because a fetch from the origin would hardly succeed: what it learns of the fetches
behind the cache servers, and of the keys that have a copy.

It must never do I/O, read a clock, or say how many fetches the origin stands: `recovery/room.py` does.
"""

from __future__ import annotations

from collections.abc import Callable

from saltmoor.agenda import PERIOD
from saltmoor.model import Ended, Hop, Micros, Server, Tx

STORED_MOST = 5_000  # keys beyond which old ones are forgotten at once
KEPT_BYTES = 4 << 20  # of what is kept by key, of either kind, however fast new keys come
KEY_BYTES = 224  # of one key: it, its time, its server's place, and its places in tables
KEYS_MOST = KEPT_BYTES // KEY_BYTES
STORED_FOR: Micros = 30_000_000  # a key that was served so long ago may have been evicted
FORGET_EVERY: Micros = 5_000_000
SERVED_STEP = 0.05  # what one served read adds to the share that is taken
FAILED_FACTOR = 0.85  # what one failed fetch leaves of it
LEAST_TAKEN = 0.05  # so that it is learnt when fetches succeed again
SCARCE_BELOW = 0.7  # share taken: under it a failed fetch is tried again for the dearest class alone
SHEDS_BELOW, SHEDS_UNTIL = 0.4, 0.7  # share taken, for the log: where shedding begins and ends


class FetchShedding:
    """Guards against an origin that gets no further under fetches, which leaves caches empty and brings more of them.

    `taken` is the share taken of reads whose key is not known to be stored: less while fetches fail.
    """

    def __init__(self) -> None:
        self.taken = 1.0
        self.stored: dict[int, tuple[Micros, Server]] = {}  # keys that were served lately: when, by whom
        self.no_room: dict[int, Micros] = {}  # keys that just missed and found no room at the origin: until when

    def learn(self, now: Micros, attempt: Hop, ended: Ended, fetch: bool) -> None:
        """An attempt has ended; `fetch`: its server had no copy."""
        key = attempt.tx.key
        if ended is Ended.COMMITTED:
            # All that was taken without knowing counts, so that fewer are turned away where many are stored.
            if key not in self.stored:
                self.taken = min(1.0, self.taken + SERVED_STEP)
            self.stored.pop(key, None)
            self.stored[key] = now, attempt.server  # the last one: they stand in order of time
            self.keep_most(self.stored)
        elif ended is Ended.ERROR and fetch:
            self.stored.pop(key, None)
            attempt.unfetched = True
            self.taken = max(LEAST_TAKEN, self.taken * FAILED_FACTOR)

    def found_no_room(self, key: int, until: Micros) -> None:
        """Until then the next read of that key would find none either."""
        self.no_room.pop(key, None)
        self.no_room[key] = until
        self.keep_most(self.no_room)

    @staticmethod
    def keep_most(by_key: dict) -> None:
        """Guards against memory that grows with keys that are ever new: the one kept for longest goes."""
        if len(by_key) > KEYS_MOST:
            del by_key[next(iter(by_key))]

    def lacks_room(self, now: Micros, key: int) -> bool:
        return self.no_room.get(key, now) > now

    def sheds(self, request: Tx, dearest: float, chance: Callable[[], float]) -> bool:
        """Whether this request is turned away, the dearer the more seldom; `dearest`: the worth of the dearest class."""
        return (
            self.taken < 1
            and request.key not in self.stored
            and not request.write
            and chance() >= self.taken * (1 + request.profile.revenue / dearest)
        )

    def may_fetch_again(self, request: Tx, dearest: float) -> bool:
        """Guards against one failed fetch after the other for a key: the dearest class is tried again."""
        failed = request.hops[-1].unfetched
        return not failed or self.taken >= SCARCE_BELOW or request.profile.revenue >= dearest

    def is_stored_at(self, key: int, server: Server) -> bool:
        """Whether it was that server that served the key last."""
        return self.stored.get(key, (0, None))[1] is server

    def is_scarce(self, before: bool) -> bool:
        """Whether so little is taken that the log is to say so; `before`: whether it does."""
        return self.taken < (SHEDS_UNTIL if before else SHEDS_BELOW)

    def forget(self, now: Micros) -> None:
        """What is too old to count; to be called each period."""
        if len(self.stored) > STORED_MOST or now % FORGET_EVERY < PERIOD:
            while self.stored and next(iter(self.stored.values()))[0] <= now - STORED_FOR:
                del self.stored[next(iter(self.stored))]
        self.no_room = {key: until for key, until in self.no_room.items() if until > now}
