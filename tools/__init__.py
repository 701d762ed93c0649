"""Development tools: the local fleet and the capacity measurements."""
