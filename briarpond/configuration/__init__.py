"""The numbered configuration that operators patch."""

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
