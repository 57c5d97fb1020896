"""Snapshots: what a restart remembers, until what age, on which side it errs. Never needed to start or to serve."""
