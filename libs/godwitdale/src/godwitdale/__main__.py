"""Entry point of ``python -m godwitdale``."""

from godwitdale import cli

if __name__ == "__main__":
    cli.main()
