"""Adapter to the outside platform that ``briarpond.gateway`` runs on.

Only this package uses the platform's field names, header names, paths and topics.
It encodes requests to the platform and decodes its answers and its settings file
into the project's own types; it opens no connections.
"""

from ._configuration import decode_configuration
from ._directory import AddressQuery, encode_addresses, parse_address_query
from ._headers import (
    HOP_BY_HOP_HEADERS,
    PlatformHeader,
    ServerLoad,
    bearer_key,
    format_priority,
    parse_prompt_parts,
    parse_server_load,
    parse_token_counts,
)
from ._instances import decode_instance
from ._orders import (
    ORDER_PATH,
    REPORT_PATH,
    decode_report,
    encode_close,
    encode_join,
    encode_leave,
    encode_open,
    encode_stage,
)
from ._settings import (
    BoundSettings,
    GatewaySettings,
    StoreSettings,
    load_gateway_settings,
    settings_path,
)
from ._store import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    INSTANCES_TOPIC,
    NODES_TOPIC,
    PLANNER_LEASE_GROUP,
    PLANNER_LEASE_TOPIC,
    KeyedRecord,
    LeaseAnswer,
    NewestPage,
    RecordsPage,
    StoreRequest,
    append_record_request,
    decode_lease,
    decode_newest,
    decode_records,
    evacuated_data_centre,
    join_lease_request,
    leave_lease_request,
    newest_records_request,
    read_records_request,
)

__all__ = [
    "CONFIG_KEY",
    "CONFIG_TOPIC",
    "HOP_BY_HOP_HEADERS",
    "INSTANCES_TOPIC",
    "NODES_TOPIC",
    "ORDER_PATH",
    "PLANNER_LEASE_GROUP",
    "PLANNER_LEASE_TOPIC",
    "REPORT_PATH",
    "AddressQuery",
    "BoundSettings",
    "KeyedRecord",
    "GatewaySettings",
    "LeaseAnswer",
    "NewestPage",
    "RecordsPage",
    "ServerLoad",
    "StoreRequest",
    "StoreSettings",
    "PlatformHeader",
    "format_priority",
    "append_record_request",
    "bearer_key",
    "decode_configuration",
    "decode_instance",
    "decode_lease",
    "decode_newest",
    "decode_records",
    "decode_report",
    "encode_addresses",
    "encode_close",
    "encode_join",
    "encode_leave",
    "encode_open",
    "encode_stage",
    "evacuated_data_centre",
    "join_lease_request",
    "leave_lease_request",
    "load_gateway_settings",
    "parse_address_query",
    "parse_prompt_parts",
    "parse_server_load",
    "parse_token_counts",
    "newest_records_request",
    "read_records_request",
    "settings_path",
]
