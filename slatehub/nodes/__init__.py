"""Attempt transports, one module for each node protocol. Each reports exactly one outcome for every attempt, and takes
it from the one table of what an outcome proves (outcomes.py). A transport does not choose nodes, does not retry on its
own, and does not depend on another transport or on a front end."""
