"""Changes for the whole fleet: one ordered log at the control machines, handed on through relays. Off unless set."""
