// Messages between daemons. Regenerate with `tools/generate-wire`; the result is committed.

enum WireMemberState {
  LIVE = 1
  LEAVING = 2
  DEAD = 3
}

struct WireMember {
  1: required string name
  2: required i64 incarnation
  3: required i64 counter
  4: required string zone
  5: required string http_address
  6: required string peer_address
  7: required string gossip_address
  8: required WireMemberState state
}

// A heartbeat of a daemon that the receiver already knows.
struct WireHeartbeat {
  1: required string name
  2: required i64 incarnation
  3: required i64 counter
}

// One UDP datagram.
struct WireGossip {
  1: required list<WireMember> members
  2: required list<WireHeartbeat> heartbeats
}

// Requests all daemons that a peer knows.
struct MembersRequest {
}

struct MembersReply {
  1: required list<WireMember> members
}

struct WireRecord {
  1: required i64 offset
  2: required i64 at_ms
  3: required string data
}

// Requests records of a stream from a peer instead of from the log.
struct FollowRequest {
  1: required string stream
  2: required i64 from_offset
  3: required i64 wait_ms
}

// `snapshot` is set if the peer does not hold the records from `from_offset` on.
struct FollowReply {
  1: required i64 first_offset
  2: required i64 end_offset
  3: required list<WireRecord> records
  4: optional string snapshot
  5: optional i64 snapshot_next_offset
  // Time since the peer last heard from the log, directly or through other peers.
  6: required i64 log_age_ms
}

// Forwards a call to the daemon that owns its request key.
struct CallRequest {
  1: required string service_name
  2: required string node
  3: required string method
  4: required string path
  5: required string content_type
  6: required binary body
  7: required string request_key
  8: required bool idempotent
  9: required i64 deadline_ms
}

struct CallReply {
  1: required i32 code
  2: required i32 status
  3: required string content_type
  4: required binary body
  5: required string detail
}

// Requests one sample from a peer.
struct SampleRequest {
  1: required string job
  2: required string sample_id
  3: required string prompt
  4: required i64 max_tokens
  5: required i64 deadline_ms
}

struct WireSegment {
  1: required i64 version
  2: required i64 token_count
}

struct SampleReply {
  1: required i32 code
  2: required string detail
  3: required list<string> tokens
  4: required list<WireSegment> segments
  5: optional double score
}

struct PullRequest {
  1: required string job
  2: required i64 cursor
  3: required i64 epoch
  4: required i64 max_samples
  5: required i64 wait_ms
}

// The body is the JSON response to the trainer.
struct PullReply {
  1: required i32 code
  2: required string body
}

// Requests the address list of a caller, sent by a daemon that is leaving.
struct AddressRequest {
  1: required string caller
}

// The body is the JSON response to the caller.
struct AddressReply {
  1: required string body
}

union PeerRequest {
  1: FollowRequest follow
  2: CallRequest call
  3: SampleRequest sample
  4: PullRequest pull
  5: AddressRequest addresses
  6: MembersRequest members
}

union PeerReply {
  1: FollowReply follow
  2: CallReply call
  3: SampleReply sample
  4: PullReply pull
  5: AddressReply addresses
  6: MembersReply members
}

// Where a reader is in one partition of the shared log; `from_offset` is 0 before its first read.
struct WireFeedPosition {
  1: required i32 topic
  2: required i64 from_offset
  // While the reader loads the topic from this peer: `load` of the peer's last page.
  3: optional i64 load
}

// Requests new records of the shared log from a peer that reads it, or that is fed itself.
struct WireFeedRequest {
  // Daemons of another deployment are refused.
  1: required string deployment
  2: required list<WireFeedPosition> positions
  // The `revision` of the peer's last reply; 0 at first. The peer answers as soon as it has a newer one.
  3: required i64 seen_revision
  4: required i64 wait_ms
}

struct WireFeedRecord {
  1: required i64 offset
  2: required string key
  // Missing in a record that removes its key.
  3: optional binary value
}

struct WireFeedPage {
  1: required i32 topic
  // The records that the reader asks for are no longer kept: it has to start at offset 0.
  2: required bool is_expired
  3: required list<WireFeedRecord> records
  4: required i64 next_offset
  // Whether the page reaches the end of what the peer has, and the peer has all.
  5: required bool is_whole
  // The time since the peer's records were known to reach the end of the log.
  6: optional i64 age_ms
  // What the reader sends back until it has read to the end.
  7: required i64 load
}

// Holds no page of a topic that the peer does not follow.
struct WireFeedReply {
  1: required string deployment
  2: required i64 revision
  // How long the peer waited before it answered.
  3: required i64 held_ms
  4: required list<WireFeedPage> pages
  // While the peer loads the log itself: the time since that last made progress.
  5: optional i64 loading_ms
}
