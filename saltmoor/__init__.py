"""saltmoor: routes transactions to a fleet of cache servers."""
