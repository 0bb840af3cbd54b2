// Messages between entries and agents, and between entries. Durations are in milliseconds.
namespace java org.wigeonferry.messages.gen

/** Orders one attempt of a request. */
struct OrderMessage {
  1: required string entry;
  2: required string requestId;
  3: required i32 attempt;
  4: required string account;
  5: optional string version;
  6: optional string plainService;
  7: optional string operation;
  8: required i64 revision;
  9: required i64 remainingMillis;
  10: required string digest;
  11: optional string idempotencyKey;
  12: required bool suspect;
  13: required string entryAddress;
  14: required i64 resumeOffset;
  15: required binary body;
  16: required i64 suspectPosition;
}

/** Part of an answer, at its offset in bytes. */
struct ChunkMessage {
  1: required i64 offset;
  2: required binary data;
}

/** End mark of a whole answer; status is the HTTP status of a plain service, 200 for a model. */
struct EndMessage {
  1: required i64 length;
  2: required string target;
  3: required i64 tokens;
  4: required i32 inFlight;
  5: required i32 limit;
  6: required i32 status;
  7: required bool stored;
}

/** Says that the attempt was not run and will not be. */
struct RefusalMessage {
  1: required string reason;
  2: required string detail;
  3: required i64 retryAfterMillis;
  4: required i64 revision;
  5: required i32 inFlight;
  6: required i32 limit;
}

/** Says that the attempt started and that its outcome isn't known. */
struct FailureMessage {
  1: required string step;
  2: required string peer;
  3: required string detail;
  4: required bool crashed;
  5: required bool condemned;
  6: required i64 position;
}

/** One frame of an answer; names the request it belongs to. */
struct FrameMessage {
  1: required string requestId;
  2: required i32 attempt;
  3: optional ChunkMessage chunk;
  4: optional EndMessage finish;
  5: optional RefusalMessage refusal;
  6: optional FailureMessage failure;
}

/** A committed release note; a snapshot replaces everything before its revision. */
struct NoteMessage {
  1: required i64 revision;
  2: required string text;
  3: required bool snapshot;
}

/** One process that a peer may be told of. */
struct MemberMessage {
  1: required string node;
  2: required string role;
  3: required string zone;
  4: required string address;
  5: required i64 epoch;
  6: required i64 ageMillis;
}

/** Age of the newest contact with an availability zone. */
struct ZoneAgeMessage {
  1: required string zone;
  2: required i64 ageMillis;
}

/** Suspicion that a request crashes upstreams. */
struct SuspicionMessage {
  1: required string digest;
  2: required bool condemned;
  3: required i64 position;
  4: required i32 losses;
}

/** Evidence of one entry on one version since the entry started. */
struct EvidenceMessage {
  1: required string version;
  2: required i64 answers;
  3: required i64 errors;
  4: required i64 ratings;
  5: required double ratingSum;
}

/** One side of a periodic exchange between processes. */
struct ExchangeMessage {
  1: required MemberMessage sender;
  2: required i64 revision;
  3: required list<NoteMessage> notes;
  4: required list<ZoneAgeMessage> zoneAges;
  5: required i64 storeAgeMillis;
  6: required list<MemberMessage> members;
  7: required list<SuspicionMessage> suspicions;
  8: required list<EvidenceMessage> evidence;
}

struct BillMessage {
  1: required string account;
  2: required string requestId;
  3: required string target;
  4: required i64 tokens;
  5: required i64 costMicros;
}

/** Asks an entry of another availability zone to hold bills, and to drop those that are durable. */
struct HoldMessage {
  1: required string owner;
  2: required i64 ownerEpoch;
  3: required list<BillMessage> hold;
  4: required list<string> drop;
}

struct HoldReply {
  1: required bool held;
}

/** What one router has under way at an upstream; the upstream is a hash of its id. */
struct UpstreamLoadMessage {
  1: required i32 upstream;
  2: required i32 queuedTokens;
  3: required i32 runningSends;
  /** Tokens of memory that the sends may take; absent in reports of earlier releases. */
  4: optional i32 heldTokens;
}

/** Part of a prompt, with the caller's id. */
struct PromptPartMessage {
  1: required string id;
  2: required i32 tokens;
}

/** A prompt that was sent to an upstream, which keeps its parts for the model. */
struct SentPromptMessage {
  1: required i32 upstream;
  2: required string model;
  3: required list<PromptPartMessage> parts;
}

/**
 * The load that an upstream reported to the sender, with the time since the sender received it; the
 * upstream is a hash of its id.
 */
struct ForwardedLoadMessage {
  1: required i32 upstream;
  2: required i32 running;
  3: required i32 waiting;
  4: required i32 slots;
  5: optional i32 pacePercent;
  6: required i32 ageMillis;
}

/**
 * All that one router has under way, which a higher sequence replaces, and the prompts that it sent
 * and the upstreams that it lost since the message before.
 */
struct RouterLoadMessage {
  1: required string router;
  2: required i64 sequence;
  3: required list<UpstreamLoadMessage> loads;
  4: required list<SentPromptMessage> prompts;
  5: optional list<i32> lostUpstreams;
  /** Received since the message before; absent in reports of earlier releases. */
  6: optional list<ForwardedLoadMessage> forwardedLoads;
}
