"""Interface of ``briarpond.daemon`` to the platform services that it runs on.

The services are the log, the instance list and the engines of the instances. This
package has their message types, paths and headers; it opens no connections. The records
are JSON objects with the field names used here.
"""

from ._models import (
    AppendAnswer,
    EngineLoad,
    EngineState,
    InstanceList,
    ListedInstance,
    ListedState,
    LoadOrder,
    OrderAnswer,
    StatusReport,
)
from ._paths import (
    ATTEMPT_ID_HEADER,
    ENGINE_ORDERS_PATH,
    ENGINE_STATUS_PATH,
    GENERATION_HEADER,
    INSTANCES_PATH,
    LOG_PATH,
    NOT_RUN_HEADER,
    PRIORITY_HEADER,
    RESUME_TOKENS_HEADER,
)
from ._ports import (
    DecodeProblem,
    PlatformRequest,
    append_log_request,
    decode_append_answer,
    decode_instance_list,
    decode_log_page,
    decode_order_answer,
    decode_status,
    instance_list_request,
    order_request,
    read_log_request,
    status_request,
)

__all__ = [
    "ENGINE_ORDERS_PATH",
    "ENGINE_STATUS_PATH",
    "GENERATION_HEADER",
    "INSTANCES_PATH",
    "LOG_PATH",
    "NOT_RUN_HEADER",
    "PRIORITY_HEADER",
    "ATTEMPT_ID_HEADER",
    "RESUME_TOKENS_HEADER",
    "AppendAnswer",
    "EngineLoad",
    "EngineState",
    "ListedInstance",
    "InstanceList",
    "ListedState",
    "LoadOrder",
    "OrderAnswer",
    "DecodeProblem",
    "PlatformRequest",
    "StatusReport",
    "append_log_request",
    "decode_append_answer",
    "decode_instance_list",
    "decode_order_answer",
    "decode_log_page",
    "decode_status",
    "instance_list_request",
    "order_request",
    "read_log_request",
    "status_request",
]
