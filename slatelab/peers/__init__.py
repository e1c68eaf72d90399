"""What lies between proxies that know each other: the net between them and its faults, in both engines."""
