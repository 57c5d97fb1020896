"""Speaks the simulator's wire for the decisions in saltmoor.choice; decides nothing itself."""
