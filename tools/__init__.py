"""Development tools: the local fleet, load, and capacity measurements."""
