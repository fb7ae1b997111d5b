"""Run the daemon with ``python -m briarpond.daemon``."""

from ._main import main

main()
