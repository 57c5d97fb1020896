"""What a node itself can do: how much it takes on, and what it turns away first. No I/O; the clock is passed in."""
