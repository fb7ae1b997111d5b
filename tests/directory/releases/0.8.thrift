/*
 * Datagrams between nodes. Fields are only ever added, as optional.
 *
 * Regenerate: thrift --gen py:no_utf8strings=false -out briarpond/directory/gen briarpond/directory/exchange.thrift
 */
namespace py exchange

/** Requests that nodes have in flight at one server. */
struct ServerRow {
  1: required string instance,
  2: required i32 in_flight,
  3: required i32 unread_tokens,
  4: optional i32 unwritten_tokens
}

/** Groups of a model that callers' requests to a service would fill. */
struct DemandRow {
  1: required string model,
  2: required double groups,
  3: optional string service_name
}

/** Loads and demand of the nodes of one data centre, or of one node. */
struct Load {
  1: required list<ServerRow> servers,
  2: required list<DemandRow> demand
}

/** A group that serves, as the planner says. */
struct PlanRow {
  1: required string group,
  2: required i64 epoch,
  3: required string model,
  4: required string head,
  5: required string host,
  6: required i32 port,
  7: optional string data_centre,
  8: optional bool cold,
  9: optional string service_name,
  10: optional i32 size
}

/** A plain server that takes requests. */
struct PlainRow {
  1: required string instance,
  2: required string service_name,
  3: required string host,
  4: required i32 port,
  5: required string data_centre,
  6: required i32 slots,
  7: optional bool cold
}

/**
 * Changes of the plan from the sequence `base` to `sequence` within a term; without
 * `base` the rows are the whole plan.
 */
struct PlanDelta {
  1: required i64 term,
  2: required i64 sequence,
  3: optional i64 base,
  4: required list<PlanRow> groups,
  5: required list<PlainRow> servers,
  6: required list<string> removed
}

/** The plan that the sender has, and how long ago its planner confirmed it. */
struct PlanStatus {
  1: required i64 term,
  2: required i64 sequence,
  3: required i32 age_ms,
  4: required i32 list_age_ms,
  5: required string planner
}

/**
 * Version of the configuration, up to which offset of which era of the store the sender has applied
 * the operator's records, and how long ago these were certainly the newest.
 */
struct ConfigStatus {
  1: required i64 version,
  2: required i32 age_ms,
  3: optional i64 position,
  4: optional i32 era
}

/** What a node says of itself, or a relay of a node that it no longer hears (`gone`). */
struct MemberRow {
  1: required string node,
  2: required i64 incarnation,
  3: required i64 revision,
  4: required string host,
  5: required i32 port,
  6: required string data_centre,
  7: required bool ready,
  8: required bool leaving,
  9: required bool candidate,
  10: required bool gone,
  11: optional bool planning,
  12: optional bool cut_off
}

/** How long ago a relay of a data centre vouched for its nodes. */
struct DataCentreAge {
  1: required string data_centre,
  2: required i32 age_ms
}

/** Prompt parts of one request, in order. */
struct PromptRow {
  1: required list<string> parts
}

/** A server that ended, and the requests that may have ended it. */
struct CrashRow {
  1: required string server,
  2: required i64 epoch,
  3: required i32 age_ms,
  4: required list<PromptRow> requests
}

/** A prompt part that a server has answered whole. */
struct SurvivalRow {
  1: required string part,
  2: required i32 age_ms
}

/** A prompt part whose requests are refused. */
struct QuarantineRow {
  1: required string part,
  2: required i32 level,
  3: required i32 age_ms
}

/** What the sender knows of prompt parts that end servers. */
struct Evidence {
  1: required list<CrashRow> crashes,
  2: required list<SurvivalRow> survivals,
  3: required list<QuarantineRow> quarantines
}

/** Request for what has changed since `cursor`; carries the sender's own state. */
struct Pull {
  1: required MemberRow sender,
  2: required i64 clock_ms,
  3: required i64 table,
  4: required i64 cursor,
  5: required i64 plan_term,
  6: required i64 plan_sequence,
  7: required i64 config_version,
  8: required Load load,
  9: optional Evidence evidence,
  10: optional i64 config_position,
  11: optional i32 config_era
}

/** Answer to a pull; `clock_ms` is repeated from it. */
struct Answer {
  1: required MemberRow sender,
  2: required i64 clock_ms,
  3: required i64 table,
  4: required i64 cursor,
  5: required bool more,
  6: required list<MemberRow> members,
  7: required list<DataCentreAge> ages,
  8: optional Load load,
  9: optional PlanStatus plan,
  10: optional PlanDelta delta,
  11: optional ConfigStatus config,
  12: optional Evidence evidence
}

/** What other nodes should learn at once. Relays pass notices of other senders on. */
struct Notice {
  1: required MemberRow sender,
  2: required list<string> stalled,
  3: required i64 config_version,
  4: optional PlanStatus plan,
  5: optional PlanDelta delta,
  6: required bool relayed,
  7: optional Evidence evidence,
  8: optional i64 config_position,
  9: optional i32 config_era
}

/**
 * The operator's configuration as it stands in the store, the data centres that are evacuated as
 * of `position`, and how old the copy may be.
 */
struct ConfigRecord {
  1: required i64 offset,
  2: required i32 age_ms,
  3: required binary value,
  4: optional i64 position,
  5: optional list<string> evacuated,
  6: optional i32 era
}
