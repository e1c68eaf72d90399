"""Proxies that know each other: the peers' link, who is there, and what all of them carry together."""
