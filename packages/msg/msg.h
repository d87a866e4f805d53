/* Messages between instances, as plain structs; wire/ encodes and decodes them.

   The instance that received a client's request is its ingress. For a request
   that needs a server of a shard, the ingress sends an ENQUEUE message to the
   instance that owns the shard, which adds a queue entry. The ingress chooses
   the entry's number (QUEUE_ENTRY below); a WITHDRAW message removes the entry.
   The owner replies with GRANT, which reserves a server for one attempt until
   the RELEASE message, or with REJECT.

   Names in quotation marks appear in dumps, logs and responses and keep older
   terms: "offer" for ENQUEUE, "refuse" for REJECT, "cell" for a shard.  */
#ifndef MSG_H
#define MSG_H

#include "base/str.h"

/* X (KIND, member, "name"). The order gives the numbers on the wire.  */
#define MSG_KINDS(X)                                                           \
  X (HEARTBEAT, heartbeat, "heartbeat")                                        \
  X (ENQUEUE, enqueue, "offer")                                                \
  X (WITHDRAW, withdraw, "withdraw")                                           \
  X (GRANT, grant, "grant")                                                    \
  X (REJECT, reject, "refuse")                                                 \
  X (PREEMPT, preempt, "preempt")                                              \
  X (PROGRESS, progress, "progress")                                           \
  X (RELEASE, release, "release")                                              \
  X (MEMBERS, members, "members")                                              \
  X (SUMMARY, summary, "summary")                                              \
  X (OBJECT_REQUEST, object_request, "object_ask")                             \
  X (OBJECT_BODY, object_body, "object_body")                                  \
  X (LEDGER_RECORD, ledger_record, "ledger_intent")                            \
  X (LEDGER_REPLY, ledger_reply, "ledger_verdict")                             \
  X (LEDGER_RESULT, ledger_result, "ledger_result")

enum msg_kind
{
#define MSG_ENUM(id, member, name) MSG_##id,
  MSG_KINDS (MSG_ENUM)
#undef MSG_ENUM
      MSG_N
};

/* Why a queue entry is rejected. X (NAME, "name", "help") */
#define MSG_REASONS(X)                                                         \
  X (OVERLOAD, "overload", "the queue of the request's class is full")         \
  X (EVICTED, "displaced",                                                     \
     "evicted from the queue by a request of a higher tier")                   \
  X (DEADLINE, "deadline", "could not start before its deadline")              \
  X (NO_SERVER, "no_server", "no backend server can serve it")                 \
  X (NOT_OWNER, "not_owner", "this instance does not own the shard")           \
  X (TEAM_LIMIT, "team_limit", "the team's limit is reached")                  \
  X (DRAINING, "draining", "the instance is shutting down")                    \
  X (NO_CONFIG, "no_config", "no configuration has been loaded")               \
  X (LEDGER_UNAVAILABLE, "ledger_away", "the ledger is unavailable")           \
  X (LINK_BUDGET, "link_budget", "the link's byte budget is used up")

enum msg_reason
{
#define MSG_REASON_ENUM(id, name, help) MSG_REASON_##id,
  MSG_REASONS (MSG_REASON_ENUM)
#undef MSG_REASON_ENUM
      MSG_REASON_N
};

/* How an attempt ended. X (NAME, "name") */
#define MSG_RESULTS(X)                                                         \
  X (OK, "ok")                                                                 \
  X (UNUSED, "unused")       /* the grant was not used */                      \
  X (NOT_SENT, "not_sent")   /* connecting failed; certainly did not run */    \
  X (BUSY, "busy")           /* the server rejected it before running */       \
  X (LEAVING, "leaving")     /* the server is shutting down */                 \
  X (REJECTED, "rejected")   /* an error that a retry would not change */      \
  X (BROKEN, "broken")       /* failed after the request may have run */       \
  X (TIMED_OUT, "timed_out") /* no byte from the server in time */             \
  X (CANCELLED, "cancelled") /* by the client or by preemption */

enum msg_result
{
#define MSG_RESULT_ENUM(id, name) MSG_RESULT_##id,
  MSG_RESULTS (MSG_RESULT_ENUM)
#undef MSG_RESULT_ENUM
      MSG_RESULT_N
};

#define MSG_AVOID_MAX 4 /* servers that a queue entry excludes */

struct msg_heartbeat
{
  guint64 incarnation; /* start time of the process, microseconds */
  guint64 sequence;    /* increases within an incarnation */
  struct str_id domain;
  struct str_id region;
  char address[64];         /* IP:PORT for peers */
  gboolean leaving;         /* owns no shards, takes no new requests */
  guint64 config_version;   /* applied; 0: none */
  guint64 registry_version; /* of the server registry; 0: none */
};

struct msg_member
{
  struct str_id id;
  struct str_id domain;
  char address[64]; /* IP:PORT for peers */
};

/* The instances that the sender considers alive, for receivers that do not know
   them yet.  */
struct msg_members
{
  const struct msg_member *items; /* borrowed */
  guint n_items;
};

struct msg_enqueue
{
  guint64 queue_entry; /* unique within the sender's incarnation */
  struct str_id shard;
  struct str_id class_name;
  struct str_id team;
  gint64 wait_us;        /* may wait so long for a start, from now */
  gint64 waited_us;      /* time since the request arrived */
  guint64 prefix;        /* hash of the prompt prefix; 0: none */
  guint32 prompt_tokens; /* estimate */
  guint32 max_tokens;    /* limit of generated tokens; 0: unknown */
  guint32 generated;     /* tokens generated so far */
  gboolean resumable;    /* the stream can be resumed after preemption */
  struct str_id running; /* server it runs on; "": it is queued */
  struct str_id avoid[MSG_AVOID_MAX]; /* servers that failed it; "": unused */
  gint64 sent_us;                     /* the ingress's monotonic clock */
};

struct msg_withdraw
{
  guint64 queue_entry;
};

struct msg_grant
{
  guint64 queue_entry;
  struct str_id backend;
  guint32 priority;     /* passed to the engine; 0 is the highest */
  gint64 use_within_us; /* the grant expires if not used in this time */
  gint64 echo_us;       /* the latest sent_us received from the ingress */
};

struct msg_reject
{
  guint64 queue_entry;
  enum msg_reason reason;
  gint64 retry_after_us; /* when to retry */
};

struct msg_preempt
{
  guint64 queue_entry;
};

struct msg_progress_item
{
  guint64 queue_entry;
  guint32 tokens; /* since the last report */
  guint32 tbt_us; /* mean time between tokens; 0: not measured */
};

/* Sent about once a second to each shard owner; also keeps the sender's queue
   entries from expiring there.  */
struct msg_progress
{
  const struct msg_progress_item *items; /* borrowed */
  guint n_items;
  gint64 sent_us; /* the ingress's monotonic clock */
};

struct msg_release
{
  guint64 queue_entry;
  struct str_id backend;
  enum msg_result result;
  guint32 ttft_us; /* time to first token; 0: no token */
  guint32 tbt_us;  /* mean time between tokens; 0: fewer than two */
  guint32 tokens;  /* since the last progress report */
};

struct msg_shard_summary
{
  struct str_id shard;
  struct str_id owner;
  char owner_address[64]; /* IP:PORT */
  guint32 free_slots;
  guint32 servers;    /* that accept requests */
  guint32 waiting[8]; /* queue entries by tier */
  guint32 starts_per_s;
};

/* Sent by a shard owner within its failure domain. To other failure domains
   only the summary sender of each domain sends it.  */
struct msg_summary
{
  struct str_id domain;
  const struct msg_shard_summary *shards; /* borrowed */
  guint n_shards;
};

struct msg_object_request
{
  struct str_id object; /* "config" or "fleet" (the server registry) */
  guint64 version;      /* that the sender has */
};

struct msg_object_body
{
  struct str_id object;
  guint64 version;
  struct str body; /* borrowed */
};

/* State of an idempotency key in the ledger. X (NAME, "name") */
#define MSG_VERDICTS(X)                                                        \
  X (RECORDED, "fresh")          /* recorded now: the call may be sent once */ \
  X (IN_PROGRESS, "in_progress") /* another call with the key is running */    \
  X (DONE, "done")               /* the stored response follows */             \
  X (UNKNOWN, "unknown")         /* may have run; no response is stored */     \
  X (MISMATCH, "mismatch")       /* the key was used with another body */      \
  X (UNAVAILABLE, "away")        /* nothing was recorded */

enum msg_verdict
{
#define MSG_VERDICT_ENUM(id, name) MSG_VERDICT_##id,
  MSG_VERDICTS (MSG_VERDICT_ENUM)
#undef MSG_VERDICT_ENUM
      MSG_VERDICT_N
};

#define MSG_KEY_BYTES 16      /* digest of team, service and key */
#define MSG_RESPONSE_MAX 4096 /* bytes of a response stored in the ledger */

/* Requests a write-ahead record in the ledger for a call. Within its
   incarnation an ingress uses each record id only once.  */
struct msg_ledger_record
{
  guint64 incarnation; /* of the ingress */
  guint64 record_id;
  guint8 key[MSG_KEY_BYTES];
  guint8 body_digest[MSG_KEY_BYTES]; /* of method, path and body */
};

/* Reply to a ledger record or result. */
struct msg_ledger_reply
{
  guint64 incarnation; /* of the ingress; ignored by any other */
  guint64 record_id;
  enum msg_verdict verdict;
  gboolean replies_to_result; /* the reply is to a result, not to a record */
  gboolean unresolved;        /* UNAVAILABLE: may still be recorded */
  guint32 status;             /* HTTP status of the stored response */
  struct str content_type;    /* borrowed */
  struct str response_body;   /* borrowed */
};

/* Ends a record. The ledger replies with REPLIES_TO_RESULT set and the verdict
   DONE once the response is stored, UNAVAILABLE once no record has this id any
   more, or UNKNOWN if the response is too large to store.  */
struct msg_ledger_result
{
  guint64 incarnation; /* of the ingress */
  guint64 record_id;   /* of the record that this ends */
  guint8 key[MSG_KEY_BYTES];
  gboolean did_not_run; /* deletes the record, so that the key can be reused */
  guint32 status;
  struct str content_type;  /* borrowed */
  struct str response_body; /* borrowed; at most MSG_RESPONSE_MAX */
};

struct msg
{
  enum msg_kind kind;
  union
  {
#define MSG_MEMBER(id, member, name) struct msg_##member member;
    MSG_KINDS (MSG_MEMBER)
#undef MSG_MEMBER
  };
};

/* Returns a deep copy of MSG, to be freed with msg_free. */
struct msg *msg_copy (const struct msg *msg);
void msg_free (struct msg *copy);

const char *msg_kind_name (enum msg_kind kind);
const char *msg_reason_name (enum msg_reason reason);
const char *msg_result_name (enum msg_result result);
const char *msg_verdict_name (enum msg_verdict verdict);

#endif
