"""Checks that a configuration document must pass to be accepted.

The messages become part of the verdicts in the folded state, which each node
computes for itself, so all nodes must produce the same ones.
"""

from collections import Counter

from expression import Error, Ok, Result
from pydantic import ValidationError

from ._exceptions import PatchProblem, PatchProblemCode
from ._models import Document


def check_document(tree: object) -> Result[Document, list[PatchProblem]]:
    """Check a configuration document.

    Parameters
    ----------
    tree : object
        Document as a JSON tree.

    Returns
    -------
    Result
        The typed document, or every problem found. Problems between entries are
        looked for only if each entry is valid.
    """
    try:
        document = Document.model_validate(tree)
    except ValidationError as exc:
        return Error([_from_pydantic(error) for error in exc.errors()])
    problems = [*_duplicate_keys(document), *_conflicting_services(document)]
    return Error(problems) if problems else Ok(document)


def _from_pydantic(error: dict) -> PatchProblem:
    path = ".".join(str(part) for part in error["loc"])
    return PatchProblem(PatchProblemCode.INVALID, path, error["msg"] + ".")


def _duplicate_keys(document: Document) -> list[PatchProblem]:
    """Return a problem for each key that would not identify one client account."""
    use_counts = Counter(
        digest for account in document.accounts.values() for digest in account.key_sha256
    )
    return [
        PatchProblem(
            PatchProblemCode.INVALID, "accounts", "One key stands in two places; issue a new key."
        )
        for digest in use_counts
        if use_counts[digest] > 1
    ]


def _conflicting_services(document: Document) -> list[PatchProblem]:
    """Return a problem for each plain service whose instances a deployment uses."""
    deployment_services = {deployment.service for deployment in document.deployments.values()}
    return [
        PatchProblem(
            PatchProblemCode.INVALID,
            f"services.{name}",
            "The instances of this service already belong to a deployment.",
        )
        for name in document.services
        if name in deployment_services
    ]
