"""Fronts: the protocols over which callers send requests. Each front turns its protocol into validated Jobs and writes
the one answer of each back. All use the same validation (validation.py). A front depends on no other front and on no
protocol towards the nodes."""
