"""Says whether an attempt may be made, its first byte written, or a request be refused. No I/O; the clock is passed in."""

from __future__ import annotations

from saltmoor.guard.verdicts import ALLOWED, DENIED, Reason, Verdict
from saltmoor.model import Ended, Group, Micros, Permits, Repeat, Server, Tx


def may_attempt(request: Tx, server: Server, now: Micros, permits: Permits) -> Verdict:
    """Whether another attempt at this request may go to this server now: first, retry or second copy."""
    if now >= request.limit:
        return DENIED[Reason.DEADLINE_PASSED]
    if len(request.hops) >= permits.hops:
        return DENIED[Reason.ATTEMPTS_USED]
    if request.open_hops() and not permits.copies:
        return DENIED[Reason.ATTEMPT_OPEN]
    profile, ran = request.profile, request.maybe_ran()
    if not ran or profile.repeat is Repeat.IDEMPOTENT:
        return ALLOWED
    if profile.repeat is Repeat.NON_IDEMPOTENT:
        return DENIED[Reason.MAY_HAVE_RUN]
    if now >= ran[0].sent + profile.window:
        return DENIED[Reason.WINDOW_OVER]
    if all(same_group(profile.group, one.server, server) for one in ran):
        return ALLOWED
    return DENIED[Reason.OTHER_GROUP]


def same_group(group: Group, one: Server, other: Server) -> bool:
    """Whether both drop each other's repeats."""
    if group is Group.ALL:
        return True
    return one.zone == other.zone and (group is Group.ZONE or one.cell == other.cell)


def may_refuse(request: Tx) -> Verdict:
    """Whether the client may be told that trying again is harmless, and not in vain."""
    if Ended.MALFORMED in [hop.ended for hop in request.hops]:
        return DENIED[Reason.MALFORMED]
    profile = request.profile
    if profile.repeat is Repeat.IDEMPOTENT or not request.maybe_ran():
        return ALLOWED
    if profile.repeat is Repeat.JOURNALLED and profile.group is Group.ALL:
        return ALLOWED
    return DENIED[Reason.MAY_HAVE_RUN]


def may_write(now: Micros, *, listed: bool, draining: bool, by: Micros, wanted: bool) -> Verdict:
    """Whether the first byte of an attempt that was decided on earlier may still be written.

    `listed`: its server is where it was; `by`: up to when its last byte may be written, 0 for no such time; `wanted`:
    its client still waits.
    """
    if draining or not listed:
        return DENIED[Reason.SERVER_LEFT]
    if by and now >= by:
        return DENIED[Reason.WINDOW_OVER]
    return ALLOWED if wanted else DENIED[Reason.CLIENT_LEFT]
