"""Work that one node does for all: who owns it, and by which number. Off unless the operators' file has a table."""
