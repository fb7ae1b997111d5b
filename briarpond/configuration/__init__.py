"""Configuration of a deployment: a document with a version number, changed by patches.

Operators submit patches to any node; the log orders them, and the fold applies each
to the version in force. Settings of a single process are in `briarpond.conf`.
"""

from ._checks import check_document
from ._exceptions import PatchProblem, PatchProblemCode
from ._models import (
    AccountConfig,
    Configuration,
    DeploymentConfig,
    Document,
    PolicyConfig,
    ServiceConfig,
)
from ._patches import apply_patch, changed_paths

__all__ = [
    "AccountConfig",
    "Configuration",
    "DeploymentConfig",
    "Document",
    "PatchProblem",
    "PatchProblemCode",
    "PolicyConfig",
    "ServiceConfig",
    "apply_patch",
    "changed_paths",
    "check_document",
]
