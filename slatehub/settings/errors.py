"""The error for a wrong setting, whichever file holds it."""


class ConfigError(Exception):
    """A setting is missing or wrong. The text begins with the file, where there are several, and the key."""
