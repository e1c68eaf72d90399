"""The operators' HTTP API for the daily operation of this proxy. May import the parser of callers' requests; only the
command line may import this package."""
