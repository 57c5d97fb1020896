"""The module alone: each test prints a short trace of decisions and compares it with the one kept."""

from saltmoor import model
from saltmoor.model import Ended, ListKind, Readiness, Repeat
from saltmoor.recovery.phase import Phase
from saltmoor.recovery.room import Room
from tests.helper import JOURNALLED, MS, ONCE, Script, TraceCase


class OrdinaryPath(TraceCase):
    def test_short_queue_goes_to_the_preferred_server(self):
        script = Script()
        script.served(1, 1)
        self.check("short-queue", script)

    def test_long_queue_spills_to_the_shortest(self):
        script = Script()
        script.served(1, 1)
        script.wait(600)
        script.tx(2)
        script.queue(1, 400)
        script.queue(2, 9)
        script.queue(3, 3)
        self.check("spill", script)

    def test_silence_is_an_infinite_queue(self):
        script = Script()
        script.tx(1)
        script.wait(50)
        script.queue(2, 5)
        script.queue(3, 2)
        script.ends(1, 0, 3, Ended.COMMITTED)
        script.queue(1, None)
        script.tx(2)  # the next one does not wait for the silent server again
        self.check("silence", script)

    def test_nobody_answers(self):
        script = Script()
        script.tx(1)
        script.wait(120)
        self.check("nobody-answers", script)

    def test_a_jam_turns_away(self):
        """Guards against jams that feed themselves: late ends shrink the share of the goal that admits."""
        script = Script(servers=1)
        script.served(1, 1)
        for number in range(2, 9):
            script.tx(number)
        script.wait(600)
        for number in range(2, 9):
            script.ends(number, 0, 1, Ended.COMMITTED, took=600)
        script.queue(1, 120)
        script.tx(20)
        script.tx(21, left=600)  # began long ago and is past its goal: no place for it in a jam
        self.check("jam", script)

    def test_a_jam_ends_with_its_cause(self):
        """Guards against a node that sends nothing more, and so never learns that the jam is over."""
        script = Script(servers=1)
        script.served(1, 1)
        for number in range(2, 60):
            script.tx(number)
            script.queue(1, 0)
            script.wait(600)
            script.ends(number, 0, 1, Ended.COMMITTED, took=600)
        script.lines.clear()
        script.tx(60)
        script.queue(1, 0)  # idle: one is tried, and none behind it
        script.tx(61)
        script.ends(60, 0, 1, Ended.COMMITTED, took=10)
        script.tx(62)
        self.check("jam-ends", script)

    def test_a_lost_answer_is_asked_for_again(self):
        """Guards against answers that never come from a server that is well: no queue, and no word of one."""
        script = Script(permits=model.Permits(hops=3, copies=True, cancel=True, probes=True))
        script.served(1, 1)
        script.tx(2)
        script.wait(100)
        script.tx(3, key=8)
        script.wait(150)  # nothing was overtaken yet
        script.tx(4)
        script.ends(4, 0, 1, Ended.COMMITTED, took=20)
        script.wait(100)
        script.ends(2, 1, 1, Ended.COMMITTED, took=20)
        script.ends(2, 0, 1, Ended.CANCELLED)
        script.tx(5, profile=ONCE)
        script.wait(20)
        script.served(6, 1)
        script.wait(400)  # not to be repeated, however late
        self.check("lost-answer", script)

    def test_slow_work_is_no_lost_answer(self):
        """Guards against slow work that is copied, and forgiven its time-out, as if its answer were lost."""
        script = Script(permits=model.Permits(hops=3, copies=True, cancel=True, probes=True))
        for number in range(1, 161, 2):
            script.tx(number)
            script.queue(1, 0)
            script.served(number + 1, 1)  # overtakes it
            script.wait(100 if number % 10 == 1 else 0)
            script.ends(number, 0, 1, Ended.COMMITTED, took=150 if number % 10 == 1 else 50)
        del script.lines[:-2]
        script.note(f"waits {script.node.patience.times:.1f} times the expected delay")
        script.tx(170)
        script.wait(50)
        script.served(171, 1)
        script.wait(99)  # a lost answer would be asked for again here
        delay = script.node.servers[1].delay
        script.ends(170, 0, 1, Ended.TIMED_OUT, took=149)
        script.note(f"its time-out tells of a long delay: {script.node.servers[1].delay > delay}")
        self.check("slow-work", script)

    def test_a_lost_answer_of_the_origin_is_asked_for_again(self):
        """Guards against a fetch that never ends, and all that wait for it."""
        script = Script(origin=True, permits=model.Permits(hops=3, copies=True, cancel=True, probes=True))
        for number, key in ((1, 7), (2, 8), (3, 9)):
            script.tx(number, key=key, profile=JOURNALLED, write=True)
            script.wait(60)
        script.ends(1, 0, 99, Ended.COMMITTED, took=90)
        script.ends(3, 0, 99, Ended.COMMITTED, took=50)
        script.wait(300)
        self.check("lost-fetch", script)

    def test_a_full_server_is_no_lesson_on_queues(self):
        """Guards against a penalty learnt as the queue that hits met: it grew with each full server."""
        script = Script(servers=2)
        script.queue(2, 0)
        for number in range(1, 30, 2):
            script.served(number, 1)
            script.tx(number + 1)
            script.ends(number + 1, 0, 1, Ended.FULL, took=1)
            script.ends(number + 1, 1, 2, Ended.COMMITTED)
        one = script.node.servers[1]
        del script.lines[14:]
        script.note(f"queue {script.node.queue(one):.1f}, met by hits {one.usual_held:.1f}")
        self.check("full-server", script)

    def test_silence_is_judged_by_its_own_time_alone(self):
        """Guards against a late loop that holds a server silent whose answer waits in the socket."""
        script = Script(servers=1)
        script.tx(1)
        script.now += 80  # nothing has run since
        script.tx(2)
        script.queue(1, 0)
        self.check("late-loop", script)

    def test_what_left_is_forgotten(self):
        """Guards against memory that grows with every server that ever was."""
        script = Script()
        script.tx(1)
        script.queue(1, None)
        script.list(ListKind.FULL, 2, 3)
        script.wait(600)
        script.note(f"known: {sorted(script.node.servers)}, modes on: {sorted(script.node.mode)}")
        self.check("forgotten", script)

    def test_a_hot_key_spills_wider_and_asks_each_server_once(self):
        """Guards against polls that put a transaction into a probe's queue again with every answer."""
        script = Script(servers=24)
        for number, length in ((1, 0), (2, 4000)):
            script.tx(number)
            while asked := [one for one in script.node.servers.values() if one.asked >= 0]:
                script.note(f"waiting for probes: {[len(one.askers) for one in asked]}")
                script.queue(asked[0].id, length)
            script.wait(600)
            for hop in [hop for one in script.node.servers.values() for hop in one.out]:
                script.ends(number, 0, hop.server.id, Ended.COMMITTED)
        self.check("wider-spill", script)


class Origin(TraceCase):
    def test_a_miss_goes_on_and_others_wait_for_its_fetch(self):
        script = Script(origin=True)
        script.tx(1)
        script.queue(1, 0)
        script.ends(1, 0, 1, Ended.MISS)
        script.tx(2)
        script.wait(80)
        script.ends(1, 1, 99, Ended.COMMITTED)
        self.check("miss", script)

    def test_no_room_in_time_is_answered_at_once(self):
        script = Script(origin=True)
        for number in range(1, 10):
            script.tx(number, JOURNALLED, key=number, write=True)
        script.wait(400)
        for number in range(1, 9):
            script.ends(number, 0, 99, Ended.ERROR, took=400)
        script.tx(20, key=20, write=True)
        self.check("origin-full", script)

    def test_a_write_that_waited_for_room_goes_to_the_origin_alone(self):
        """Guards against one that is taken for a read while copies fill, and sent to a cache server (issue 83)."""
        script = Script(origin=True)
        node = script.node
        node.recovery.phase, node.fetch, node.room.limit, node.room.usual = Phase.FILLING, 10 * MS, 1.0, 10 * MS
        script.tx(1, JOURNALLED, write=True)
        script.wait(30)
        script.tx(2, JOURNALLED, write=True)
        script.ends(1, 0, 99, Ended.FULL, took=10)  # its place goes to the second, and it waits for another
        script.wait(20)
        script.ends(2, 0, 99, Ended.COMMITTED, took=10)
        sent = [line.split("->")[1].strip() for line in script.lines if "   tx 1 ->" in line]
        self.assertEqual(sent, ["server 99", "server 99"], script.lines)
        self.assertFalse([line for line in script.lines if "probe" in line])

    def test_an_origin_whose_times_vary_keeps_its_room(self):
        """Guards against taking a wide spread of times for a full origin: only the usual time tells."""
        script, room = Script(), Room()
        for number in range(1, 161):
            took = (30, 90, 400, 100)[number % 4] if number <= 80 else (300, 500)[number % 2]
            for out in range(int(room.limit)):
                room.taken(number * 100 * MS, out)
            room.learn(number * 100 * MS, took * MS, True, 500 * MS)
            if number % 16 == 0:
                script.note(f"answer {number} took {took} ms: usual {room.usual / MS:.0f}, room {room.limit:.1f}")
        self.check("room", script)


class Rules(TraceCase):
    def lost(self, name: str, how: Ended, profile: int, after: int = 50) -> None:
        script = Script()
        script.tx(1, profile)
        script.queue(1, 0)
        script.wait(after)
        script.ends(1, 0, 1, how, took=after)
        script.queue(2, 0)
        script.wait(1000 - after)
        self.check(name, script)

    def test_non_idempotent_error_is_abandoned(self):
        self.lost("once-error", Ended.ERROR, ONCE)

    def test_non_idempotent_turned_away_unseen_goes_on(self):
        self.lost("once-not-run", Ended.FULL, ONCE)

    def test_journalled_inside_its_window_goes_on(self):
        self.lost("journalled-inside", Ended.RESET, JOURNALLED)

    def test_journalled_past_its_window_is_rolled_back(self):
        self.lost("journalled-past", Ended.RESET, JOURNALLED, after=310)

    def test_unknown_end_may_have_run(self):
        self.lost("once-unknown", Ended.UNKNOWN, ONCE)

    def test_last_moment_answer_and_late_events(self):
        script = Script()
        script.tx(1, ONCE)
        script.queue(1, 0)
        script.wait(1000)
        script.ends(1, 0, 1, Ended.TIMED_OUT, took=1000)
        script.node.out_of_hands(script.now * MS, 1)
        script.told()
        self.check("last-moment", script)

    def test_a_stream_that_began_is_never_cancelled(self):
        script = Script()
        script.tx(1, ONCE)
        script.queue(1, 0)
        script.node.out_of_hands(script.now * MS, 1, streaming=0)
        script.told()
        script.ends(1, 0, 1, Ended.COMMITTED)
        self.check("stream", script)

    def test_drain_while_held(self):
        script = Script()
        script.tx(1)
        script.list(ListKind.CHANGES, 1, state=Readiness.DRAINING)
        script.queue(1, 0)
        script.queue(2, 0)
        script.tx(2)
        self.check("drain", script)

    def test_cold_server_gets_its_budget_and_no_more(self):
        """Guards against pushing over a cold server with a burst."""
        script = Script(servers=1, place=model.Place(nodes=4))
        script.served(100, 1)
        script.list(ListKind.CHANGES, 1, started=script.now)
        for number in range(1, 5):
            script.tx(number)
        script.wait(9_000)
        script.tx(5)
        script.queue(1, 0)
        self.check("cold", script)


class Trouble(TraceCase):
    def test_a_server_that_fails_fast_is_put_aside(self):
        script = Script()
        script.queue(2, 0)
        for number in range(1, 5):
            script.tx(number, ONCE)
            script.queue(1, 0)
            script.ends(number, 0, 1, Ended.ERROR, took=2)
        self.check("fails-fast", script)

    def test_hops_at_a_lost_server_go_elsewhere(self):
        script = Script(permits=model.Permits(hops=4, copies=True, probes=True))
        script.queue(2, 0)
        for number, profile in ((1, 0), (2, JOURNALLED), (3, ONCE), (4, 0)):
            script.tx(number, profile)
            script.queue(1, 0)
        script.wait(10)
        # Guards against one connection that breaks and takes the whole server out: the next one asks first.
        script.ends(1, 0, 1, Ended.RESET, took=10)
        script.tx(5)
        script.ends(2, 0, 1, Ended.RESET, took=10)
        self.check("lost-server", script)

    def test_a_lost_server_is_asked_again_only_by_need_and_ever_later(self):
        """Guards against hundreds of nodes that ask a lost server more often than clients ask them."""
        script = Script(servers=2)
        for number in range(1, 8):
            script.tx(number)
            if script.node.servers[1].asked >= 0:
                script.queue(1, None)
            if script.node.servers[2].asked >= 0:
                script.queue(2, 0)
            script.ends(number, 0, 2, Ended.COMMITTED)
            script.wait(300)
        self.check("lost-asked-again", script)

    def test_list_out_of_reach_then_renewed(self):
        script = Script(listing=model.Listing(True, 3_000 * MS))
        script.list(ListKind.FAILED)
        script.wait(700)
        script.list(ListKind.FULL, 1, 2)
        script.tx(1)
        self.check("list", script)

    def test_without_probes_keys_or_peers(self):
        script = Script(servers=1, permits=model.Permits(), columns=[])
        script.tx(1, key=None)
        script.ends(1, 0, 1, Ended.FULL)
        self.check("bare", script)

    def test_further_hops_stay_within_their_budget(self):
        """Guards against more hops beyond the first than are stated, in any window; the dearest go first."""
        profiles = [
            model.Profile(500 * MS, 1000 * MS, Repeat.IDEMPOTENT, revenue=1.0),
            model.Profile(500 * MS, 1000 * MS, Repeat.IDEMPOTENT, revenue=5.0),
        ]
        script = Script(3, profiles=profiles, budget=model.HopBudget(2, 0.1, 2000 * MS), columns=[])
        for number in range(1, 5):
            script.tx(number, profile=number % 2, key=number)
            script.wait(10)
            script.ends(number, 0, script.last, Ended.ERROR)
        script.wait(2000)
        script.note("two seconds later")
        script.tx(5, profile=1, key=5)
        script.ends(5, 0, script.last, Ended.ERROR)
        self.check("budget", script)

    def test_fetches_that_fail_spare_the_origin(self):
        """Guards against an origin that gets no further: fewer reads of unknown keys, no repeats of cheap ones,
        no server blamed; a key known to be stored is read as ever."""
        profiles = [
            model.Profile(500 * MS, 1000 * MS, Repeat.IDEMPOTENT, revenue=1.0),
            model.Profile(500 * MS, 1000 * MS, Repeat.IDEMPOTENT, revenue=5.0),
        ]
        script = Script(3, profiles=profiles, columns=[])
        script.tx(0, key=100)
        script.ends(0, 0, script.last, Ended.COMMITTED, note=1)
        for number in range(1, 15):
            script.last = None
            script.tx(number, key=number)
            if script.last:
                script.ends(number, 0, script.last, Ended.ERROR, note=2)
        script.note("the dearest is tried again; the stored one is read")
        while True:
            number += 1
            script.last = None
            script.tx(number, profile=1, key=number)
            if script.last:
                script.ends(number, 0, script.last, Ended.ERROR, note=2)
                break
        script.tx(99, key=100)
        self.check("spared", script)

    def test_connections_are_given_back_where_living_servers_refuse(self):
        """Guards against idle connections that keep the other nodes out of servers that hold few."""
        script = Script(2, columns=[])
        for number in range(1, 9):
            script.tx(number, key=number)
            how = Ended.COMMITTED if number % 2 else Ended.NO_CONNECTION
            script.ends(number, 0, script.last, how, 20)
            if number % 2 == 0:
                script.ends(number, 1, script.last, Ended.COMMITTED, 20)
            script.wait(300)
        script.tx(9, key=9)
        script.ends(9, 0, script.last, Ended.FULL, 1)  # turned away: the connection is kept, its turn comes
        self.check("squeezed", script)

    def test_a_list_that_calls_servers_gone_does_not_bind_where_only_draining_does(self):
        """Guards against a whole fleet given up for a wrong list, and against one kept that is really gone."""
        script = Script(3, listing=model.Listing(soft=True))
        script.served(1, 1)
        script.list(ListKind.CHANGES, 1, 2, state=Readiness.GONE)
        script.list(ListKind.FULL)  # empty: all that are left out
        script.tx(2)
        script.queue(1, 0)
        script.ends(2, 0, 1, Ended.COMMITTED)
        script.note("it drains: that binds")
        script.list(ListKind.CHANGES, 1, state=Readiness.DRAINING)
        script.list(ListKind.CHANGES, 1, state=Readiness.GONE)
        script.tx(3)
        script.queue(2, None)
        script.queue(3, 0)
        script.wait(61_000)
        script.note(f"kept: {sorted(script.node.servers)}")
        self.check("soft-list", script)
