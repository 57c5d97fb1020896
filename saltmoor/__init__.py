"""saltmoor: routes transactions to a fleet of cache servers."""

__version__ = "0.2.0"
