"""Settings of one process: YAML file, typed model and start-up checks.

Settings are read once, at the start. What operators change while the system runs is
in `briarpond.configuration`.
"""

from ._checks import check_settings, load_settings
from ._exceptions import SettingsProblem
from ._models import (
    Address,
    LimitSettings,
    ListenSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    StopSettings,
    TimingSettings,
)

__all__ = [
    "Address",
    "LimitSettings",
    "ListenSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "SettingsProblem",
    "StopSettings",
    "TimingSettings",
    "check_settings",
    "load_settings",
]
