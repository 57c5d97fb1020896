"""Sockets and messages between nodes, and what a node replicates, coalesces and borrows by them. Off unless the
operators' file has a table `peers`.

`node` puts the parts together: `sockets` and `streams` carry, `messenger` frames and dispatches, `membership`, `gossip`,
`anti_entropy`, `fetch_leases` and `borrowed_quota` each speak for one core of `peers/` or `replica/`, `operators`
answers questions from outside. A part knows those it is given, never `node`.
"""
