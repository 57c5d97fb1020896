"""The randomized fault soak: real processes under drawn, overlapping troubles, judged from outside."""
