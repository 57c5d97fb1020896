"""The one place that says whether something may be sent, retried, refused, started, accepted or closed now, and why."""
