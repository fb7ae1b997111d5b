/*
 * Messages between nodes. Fields are only ever added, as optional, so that
 * nodes of neighbouring releases understand each other.
 *
 * Regenerate: thrift --gen py -out briarpond/peers/gen briarpond/peers/messages.thrift
 */
namespace py messages

/**
 * What a node knows of one group; ages in milliseconds, absent for never.
 * Counts are absent for 0, load_age_ms where it equals present_age_ms.
 */
struct GroupDigest {
  1: required i64 generation,
  2: optional i32 present_age_ms,
  3: optional i32 absent_age_ms,
  4: optional i32 running,
  5: optional i32 load_age_ms,
  6: optional i32 queued
}

/** Last sign of life of the node that joined at a position of the log. */
struct PeerDigest {
  1: required i64 position,
  2: required i32 age_ms,
  3: optional bool leaving
}

/** Last sign of life of a node. */
struct NodeDigest {
  1: required string node,
  2: required string incarnation,
  3: required i32 age_ms,
  4: required bool leaving
}

/** Requests per second that a node sees of one client account. */
struct AccountDemand {
  1: required string account,
  2: required double rate
}

/** One entry of the log. */
struct LogRow {
  1: required i64 offset,
  2: required string value
}

/** Asks a peer for what it knows beyond `next_offset`. */
struct Pull {
  1: required i64 next_offset,
  2: required bool wants_snapshot,
  3: required NodeDigest sender,
  4: required list<AccountDemand> demand
}

struct PullAnswer {
  1: required i64 oldest,
  2: required i64 following,
  3: required i64 highest_seen,
  4: required i32 contact_age_ms,
  5: required list<LogRow> rows,
  6: required list<GroupDigest> groups,
  7: required list<PeerDigest> nodes,
  8: required list<AccountDemand> demand,
  9: optional binary snapshot,
  10: optional list<string> leaving,
  11: required NodeDigest sender
}

/** Asks the owner of an idempotency key what became of the request. */
struct KeyQuery {
  1: required string key,
  2: required string incarnation
}

struct KeyAnswer {
  1: required string state,
  2: required i32 status,
  3: required string content_type,
  4: optional binary body
}

/** One call or its answer; exactly one of the bodies is set. */
struct Envelope {
  1: required i16 version,
  2: required string call,
  3: required string sender,
  4: optional Pull pull,
  5: optional PullAnswer pull_answer,
  6: optional KeyQuery key_query,
  7: optional KeyAnswer key_answer
}

/** What goes over the wire: an envelope and its HMAC-SHA256. */
struct Frame {
  1: required binary envelope,
  2: required binary mac
}
