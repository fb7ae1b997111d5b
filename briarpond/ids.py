"""Identifier types shared by all packages.

Each identifier is a distinct type to the type checker and a plain string or
integer at run time.
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
RecordId = NewType("RecordId", str)
RequestKey = NewType("RequestKey", str)
ServiceName = NewType("ServiceName", str)
