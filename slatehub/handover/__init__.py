"""Hot restart: a new process of a proxy takes over from the running one. Must not import the operators' API."""
