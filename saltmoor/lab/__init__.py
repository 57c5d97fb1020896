"""The project's own world: stand-in servers, faults, load, a ledger and experiments; docs/lab.md explains it.

Nothing that serves transactions imports it, and it shares no code with what it checks: protocols are spoken
here a second time, on purpose.
"""
