"""Identifier types that all packages share.

Each is a distinct type for the type checker, and a plain string or integer at run time.

Attributes
----------
AccountId
    Name of a client account.
AttemptId
    One attempt of a request at one backend server.
DataCentre
    Name of a data centre.
DeploymentId
    Name of a deployment in the operator's configuration: a model and the number of
    groups that serve it.
FabricDomain
    Name of a fabric domain. The members of a group are in the same one.
GroupId
    Id of a group of instances.
Incarnation
    One run of a process; it changes with each restart.
InstanceId
    Id of an instance; a restarted instance may keep it.
LeaseScope
    What a lease is for, such as the planner of one data centre.
NodeId
    Name of a node.
OperatorName
    Name of an operator, as it appears in the audit trail.
Position
    Place of a record in the order of the log, above 0. The position of the record that
    forms a group is the group's generation.
PromptPart
    Name of a part of a prompt, the same in all requests that share the part.
RecordId
    Id that a record carries in the log; a record that is appended twice is folded once.
RequestKey
    Idempotency key of a request, together with its client account.
ServiceName
    Name of a service.
"""

from typing import NewType

AccountId = NewType("AccountId", str)
AttemptId = NewType("AttemptId", str)
DataCentre = NewType("DataCentre", str)
DeploymentId = NewType("DeploymentId", str)
FabricDomain = NewType("FabricDomain", str)
GroupId = NewType("GroupId", str)
Incarnation = NewType("Incarnation", str)
InstanceId = NewType("InstanceId", str)
LeaseScope = NewType("LeaseScope", str)
NodeId = NewType("NodeId", str)
OperatorName = NewType("OperatorName", str)
Position = NewType("Position", int)
PromptPart = NewType("PromptPart", str)
RecordId = NewType("RecordId", str)
RequestKey = NewType("RequestKey", str)
ServiceName = NewType("ServiceName", str)
