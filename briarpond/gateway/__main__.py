"""Run one node on the users' platform."""

import sys

from . import main

sys.exit(main())
