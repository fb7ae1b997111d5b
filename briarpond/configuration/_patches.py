"""Application of RFC 7396 merge patches to a version of the configuration."""

import copy

import json_merge_patch
import msgspec
from expression import Error, Ok, Result

from ._checks import check_document
from ._exceptions import PatchProblem, PatchProblemCode
from ._models import Configuration

# Limit of the patched document, in bytes of JSON.
MAX_DOCUMENT_BYTES = 512 * 1024


def apply_patch(
    current: Configuration, base_version: int, patch: object
) -> Result[Configuration, list[PatchProblem]]:
    """Apply a merge patch to the configuration in force.

    Parameters
    ----------
    current : Configuration
        Version in force.
    base_version : int
        Version against which the patch was written; must be the one in force, so
        that no change is overwritten unseen.
    patch : object
        RFC 7396 merge patch as a JSON tree; not changed.

    Returns
    -------
    Result
        The next version, or the problems for which the patch is refused.
    """
    if base_version != current.version:
        return Error([_stale(current.version, base_version)])
    if not isinstance(patch, dict):
        problem = PatchProblem(
            PatchProblemCode.NOT_AN_OBJECT, "", "A merge patch must be a JSON object."
        )
        return Error([problem])
    tree = current.document.model_dump(mode="json")
    merged = json_merge_patch.merge(tree, copy.deepcopy(patch))
    if len(msgspec.json.encode(merged)) > MAX_DOCUMENT_BYTES:
        message = f"The document would be larger than {MAX_DOCUMENT_BYTES} bytes."
        return Error([PatchProblem(PatchProblemCode.TOO_LARGE, "", message)])
    checked = check_document(merged)
    if checked.is_error():
        return Error(checked.error)
    return Ok(Configuration(current.version + 1, checked.ok))


def changed_paths(patch: object, prefix: str = "") -> list[str]:
    """Return the dotted paths that a merge patch sets or removes.

    Parameters
    ----------
    patch : object
        Merge patch or a part of one.
    prefix : str
        Path of that part in the document, empty for the whole patch.
    """
    if not isinstance(patch, dict):
        return [prefix]
    paths = []
    for key, value in patch.items():
        paths += changed_paths(value, f"{prefix}.{key}" if prefix else str(key))
    return paths


def _stale(version: int, base_version: int) -> PatchProblem:
    message = (
        f"The patch was made against version {base_version}, but version {version} is in force."
    )
    return PatchProblem(PatchProblemCode.STALE, "", message)
