"""What nodes share: entries with one rule for copies that differ, and how each comes to have them. No I/O."""
