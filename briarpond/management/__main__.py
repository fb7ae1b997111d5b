"""Run the command-line tool with ``python -m briarpond.management``."""

from ._cli import main

main()
