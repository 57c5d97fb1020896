"""The module alone: each test prints a short trace of decisions and compares it with the one kept."""

from saltmoor import model
from saltmoor.model import Ended, ListKind, Readiness
from tests.helper import JOURNALLED, MS, ONCE, Script, TraceCase


class OrdinaryPath(TraceCase):
    def test_short_queue_goes_to_the_preferred_server(self):
        script = Script()
        script.served(1, 1)
        self.check("short-queue", script)

    def test_long_queue_spills_to_the_shortest(self):
        script = Script()
        script.served(1, 1)
        script.wait(200)
        script.tx(2)
        script.queue(1, 40)
        script.queue(2, 9)
        script.queue(3, 3)
        self.check("spill", script)

    def test_silence_is_an_infinite_queue(self):
        script = Script()
        script.tx(1)
        script.wait(50)
        script.queue(2, 5)
        script.queue(3, 2)
        self.check("silence", script)

    def test_nobody_answers(self):
        script = Script()
        script.tx(1)
        script.wait(120)
        self.check("nobody-answers", script)
