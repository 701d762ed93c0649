"""Runs the ``goldcresthaven`` command as ``python -m goldcresthaven``."""

from goldcresthaven import cli

if __name__ == '__main__':
    cli.main()
