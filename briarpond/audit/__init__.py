"""Audit trail of changes and operators' actions, read from the folded state."""

from ._trail import AuditLine, audit_lines, accepted_patches_since

__all__ = ["AuditLine", "audit_lines", "changes_since"]
