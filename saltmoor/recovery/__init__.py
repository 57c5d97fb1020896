"""How a node comes back: its part of the fleet's fetches while caches fill. No I/O; the clock is passed in."""
