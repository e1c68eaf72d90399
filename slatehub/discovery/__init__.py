"""The source of the node list: discovery of this proxy's tier."""
