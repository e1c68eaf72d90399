"""Load sharing between proxies. Pure: each proxy computes its own share from the same sums."""
