"""Experiments: single runs, batches of runs, and the statistics over them. They run any engine and read nothing but its
records. Engines, the judge and the plant do not import this package."""
