"""The network between proxies that know each other, and its faults, for both engines."""
