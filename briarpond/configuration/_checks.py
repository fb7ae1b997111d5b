"""Checks that a configuration document must pass to be accepted."""

from collections import Counter

from expression import Error, Ok, Result
from pydantic import ValidationError

from ._exceptions import PatchProblem, PatchProblemCode
from ._models import Document


def check_document(tree: object) -> Result[Document, list[PatchProblem]]:
    """Check a document tree and return the typed document or every problem."""
    try:
        document = Document.model_validate(tree)
    except ValidationError as exc:
        return Error([_from_pydantic(error) for error in exc.errors()])
    problems = [*_shared_keys(document), *_shared_names(document)]
    return Error(problems) if problems else Ok(document)


def _from_pydantic(error: dict) -> PatchProblem:
    path = ".".join(str(part) for part in error["loc"])
    return PatchProblem(PatchProblemCode.INVALID, path, error["msg"] + ".")


def _shared_keys(document: Document) -> list[PatchProblem]:
    uses = Counter(
        digest for account in document.accounts.values() for digest in account.key_sha256
    )
    return [
        PatchProblem(
            PatchProblemCode.INVALID, "accounts", "One key stands in two places; issue a new key."
        )
        for digest in uses
        if uses[digest] > 1
    ]


def _shared_names(document: Document) -> list[PatchProblem]:
    served = {deployment.service for deployment in document.deployments.values()}
    return [
        PatchProblem(
            PatchProblemCode.INVALID,
            f"services.{name}",
            "The instances of this service already belong to a deployment.",
        )
        for name in document.services
        if name in served
    ]
