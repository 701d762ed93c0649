"""Makes ``python -m goldcresthaven`` the same as ``goldcresthaven``."""

from goldcresthaven import cli

if __name__ == '__main__':
    cli.main()
