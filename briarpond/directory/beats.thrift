/*
 * Heartbeats between nodes. Fields are only ever added, as optional.
 *
 * Regenerate: thrift --gen py:no_utf8strings=false -out briarpond/directory/gen briarpond/directory/beats.thrift
 */
namespace py beats

/** Requests that the sender has in flight at one server. */
struct ServerRow {
  1: required string instance,
  2: required i32 in_flight,
  3: required i32 unread_tokens
}

/** Groups of a model that the sender's requests would fill. */
struct DemandRow {
  1: required string model,
  2: required double groups
}

/** A group that serves, as the planner says. */
struct PlanRow {
  1: required string group,
  2: required i64 epoch,
  3: required string model,
  4: required string head,
  5: required string host,
  6: required i32 port
}

/** A plain server that takes requests. */
struct PlainRow {
  1: required string instance,
  2: required string service_name,
  3: required string host,
  4: required i32 port,
  5: required string data_centre,
  6: required i32 slots
}

/**
 * Where requests may go; `sequence` rises within a term. Without rows it only says
 * that the plan of that sequence still holds. `fresh` says that the sender follows
 * the platform's list without a gap.
 */
struct Plan {
  1: required i64 term,
  2: required i64 sequence,
  3: optional list<PlanRow> groups,
  4: optional list<PlainRow> servers,
  5: optional bool fresh
}

/** Sign of life of a node. */
struct Beat {
  1: required string node,
  2: required string host,
  3: required i32 port,
  4: required string data_centre,
  5: required bool ready,
  6: required bool leaving,
  7: required list<ServerRow> servers,
  8: required list<DemandRow> demand,
  9: required list<string> stalled,
  10: optional Plan plan,
  11: optional bool candidate,
  12: optional i64 clock_ms,
  13: optional i64 config_version
}

/** Tells one node that a configuration was the newest, by that node's own clock. */
struct Echo {
  1: required i64 clock_ms,
  2: required i64 config_version,
  3: required i64 age_ms
}
