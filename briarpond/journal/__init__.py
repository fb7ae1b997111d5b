"""Records on the platform's log and the fold that turns them into the shared state.

Nodes append records to the store's log; every node reads the log in order and
folds each record into its copy of the state. The fold accepts or refuses a
record by a pure function, so all copies agree without further messages.
"""

from ._codec import decode_entry, encode_entry
from ._exceptions import JournalProblem, JournalProblemCode
from ._fold import apply_record
from ._models import (
    Claim,
    EntryContent,
    Group,
    GroupDissolve,
    GroupForm,
    GroupPhase,
    GroupRetire,
    GroupSpec,
    KeyClaim,
    Lease,
    LeaseTake,
    LogEntry,
    Member,
    Node,
    NodeJoin,
    NodeLeave,
    NodeRemove,
    NodeStage,
    OperatorAction,
    PatchSubmit,
    Record,
    SnapshotPart,
    Verdict,
    VerdictCode,
)
from ._outbox import Outbox, RecordOutcome
from ._snapshot import SnapshotAssembler, decode_snapshot, encode_snapshot, split_snapshot
from ._state import AuditEntry, FoldedState
from ._tail import Page, Tail, TailStatus

__all__ = [
    "AuditEntry",
    "Claim",
    "EntryContent",
    "FoldedState",
    "Group",
    "GroupDissolve",
    "GroupForm",
    "GroupPhase",
    "GroupRetire",
    "GroupSpec",
    "JournalProblem",
    "JournalProblemCode",
    "KeyClaim",
    "Lease",
    "LeaseTake",
    "LogEntry",
    "Member",
    "Node",
    "NodeJoin",
    "NodeLeave",
    "NodeRemove",
    "NodeStage",
    "OperatorAction",
    "Outbox",
    "Page",
    "PatchSubmit",
    "Record",
    "RecordOutcome",
    "SnapshotAssembler",
    "SnapshotPart",
    "Tail",
    "TailStatus",
    "Verdict",
    "VerdictCode",
    "apply_record",
    "decode_entry",
    "decode_snapshot",
    "encode_entry",
    "encode_snapshot",
    "split_snapshot",
]
