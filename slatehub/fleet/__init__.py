"""The fleet of proxies: authenticated datagrams, membership, and the aggregated load of all members."""
