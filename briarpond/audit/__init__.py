"""Audit trail of changes and operators' actions, read from the folded state."""

from ._trail import AuditLine, accepted_patches_since, audit_lines

__all__ = ["AuditLine", "accepted_patches_since", "audit_lines"]
