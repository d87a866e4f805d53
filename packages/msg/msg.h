/* Messages between instances. Plain structs; the codec is in wire/.  */
#ifndef MSG_H
#define MSG_H

#include "base/str.h"

/* X (KIND, member, "name") */
#define MSG_KINDS(X)                                                           \
  X (HEARTBEAT, heartbeat, "heartbeat")                                        \
  X (OFFER, offer, "offer")                                                    \
  X (WITHDRAW, withdraw, "withdraw")                                           \
  X (GRANT, grant, "grant")                                                    \
  X (REFUSE, refuse, "refuse")                                                 \
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

/* Why a ticket is refused. X (NAME, "name", "help") */
#define MSG_REASONS(X)                                                         \
  X (OVERLOAD, "overload", "no room to wait in the class's queue")             \
  X (EVICTED, "displaced", "made room for a higher tier")                      \
  X (DEADLINE, "deadline", "could not start before its deadline")              \
  X (NO_SERVER, "no_server", "no backend server can take it")                  \
  X (NOT_OWNER, "not_owner", "this instance does not own the cell")            \
  X (TEAM_LIMIT, "team_limit", "the team's limit is reached")                  \
  X (DRAINING, "draining", "the instance is shutting down")                    \
  X (NO_CONFIG, "no_config", "no configuration yet")                           \
  X (LEDGER_AWAY, "ledger_away", "the ledger cannot be written")               \
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
  X (BUSY, "busy")           /* the server refused before running */           \
  X (LEAVING, "leaving")     /* the server says it is leaving */               \
  X (REJECTED, "rejected")   /* an answer that a retry would not change */     \
  X (BROKEN, "broken")       /* failed after the request may have run */       \
  X (TIMED_OUT, "timed_out") /* no byte within the limit */                    \
  X (CANCELLED, "cancelled") /* by the caller or by preemption */

enum msg_result
{
#define MSG_RESULT_ENUM(id, name) MSG_RESULT_##id,
  MSG_RESULTS (MSG_RESULT_ENUM)
#undef MSG_RESULT_ENUM
      MSG_RESULT_N
};

#define MSG_AVOID_MAX 4 /* backend servers that a ticket names to avoid */

struct msg_heartbeat
{
  guint64 incarnation; /* start time of the process, microseconds */
  guint64 sequence;    /* counts up within an incarnation */
  struct str_id domain;
  struct str_id region;
  char address[64];       /* IP:PORT for peers */
  gboolean leaving;       /* owns no cells, takes no new requests */
  guint64 config_version; /* in force; 0: none */
  guint64 fleet_version;  /* of the list of servers; 0: none */
};

struct msg_member
{
  struct str_id id;
  struct str_id domain;
  char address[64]; /* IP:PORT for peers */
};

/* The sender's live instances, so that others learn of them. */
struct msg_members
{
  const struct msg_member *items; /* borrowed */
  guint n_items;
};

struct msg_offer
{
  guint64 ticket; /* unique within the sender's incarnation */
  struct str_id cell;
  struct str_id class_name;
  struct str_id team;
  gint64 wait_us;                     /* longest wait for a start from now */
  gint64 waited_us;                   /* since the request arrived */
  guint64 prefix;                     /* hash of the prompt's prefix; 0: none */
  guint32 prompt_tokens;              /* estimate */
  guint32 max_tokens;                 /* limit of the answer; 0: unknown */
  guint32 generated;                  /* tokens so far, if it ran or runs */
  gboolean resumable;                 /* a preempted stream can be resumed */
  struct str_id running;              /* server it runs on; "": it waits */
  struct str_id avoid[MSG_AVOID_MAX]; /* failed servers; "": unused */
  gint64 sent_us;                     /* the entry's clock */
};

struct msg_withdraw
{
  guint64 ticket;
};

struct msg_grant
{
  guint64 ticket;
  struct str_id backend;
  guint32 priority;     /* for the engine; 0 is the highest */
  gint64 use_within_us; /* unused grants end after this */
  gint64 echo_us;       /* the latest sent_us that the owner has of the entry */
};

struct msg_refuse
{
  guint64 ticket;
  enum msg_reason reason;
  gint64 retry_after_us; /* when to come back */
};

struct msg_preempt
{
  guint64 ticket;
};

struct msg_progress_item
{
  guint64 ticket;
  guint32 tokens; /* since the last report */
  guint32 tbt_us; /* mean between tokens; 0: none seen */
};

/* Sent about once a second to each owner; also keeps the tickets alive. */
struct msg_progress
{
  const struct msg_progress_item *items; /* borrowed */
  guint n_items;
  gint64 sent_us; /* the entry's clock */
};

struct msg_release
{
  guint64 ticket;
  struct str_id backend;
  enum msg_result result;
  guint32 ttft_us; /* 0: no token */
  guint32 tbt_us;  /* mean; 0: fewer than two tokens */
  guint32 tokens;  /* since the last progress report */
};

struct msg_shard_summary
{
  struct str_id cell;
  struct str_id owner;
  char owner_address[64]; /* IP:PORT */
  guint32 free_slots;
  guint32 servers;    /* that take work */
  guint32 waiting[8]; /* tickets by tier */
  guint32 starts_per_s;
};

/* From a cell owner to its failure domain; between failure domains only by
   each domain's summary sender.  */
struct msg_summary
{
  struct str_id domain;
  const struct msg_shard_summary *cells; /* borrowed */
  guint n_cells;
};

struct msg_object_request
{
  struct str_id object; /* "config" or "fleet" */
  guint64 version;      /* held by the sender */
};

struct msg_object_body
{
  struct str_id object;
  guint64 version;
  struct str body; /* borrowed */
};

/* X (NAME, "name") */
#define MSG_VERDICTS(X)                                                        \
  X (RECORDED, "fresh")          /* recorded: the call may be sent once */     \
  X (IN_PROGRESS, "in_progress") /* another try of the key is under way */     \
  X (DONE, "done")               /* the stored answer follows */               \
  X (UNKNOWN, "unknown")         /* it may have run; no answer is known */     \
  X (MISMATCH, "mismatch")       /* the key came with another body before */   \
  X (UNAVAILABLE, "away")        /* nothing was recorded */

enum msg_verdict
{
#define MSG_VERDICT_ENUM(id, name) MSG_VERDICT_##id,
  MSG_VERDICTS (MSG_VERDICT_ENUM)
#undef MSG_VERDICT_ENUM
      MSG_VERDICT_N
};

#define MSG_KEY_BYTES 16      /* digest of team, service and key */
#define MSG_RESPONSE_MAX 4096 /* bytes of an answer kept in the ledger */

/* Ledger tickets are numbers that an entry never uses for two intents within
   its incarnation.  */
struct msg_ledger_record
{
  guint64 incarnation; /* of the entry */
  guint64 ticket;
  guint8 key[MSG_KEY_BYTES];
  guint8 body[MSG_KEY_BYTES]; /* digest of method, path and body */
};

struct msg_ledger_reply
{
  guint64 incarnation; /* of the entry; others ignore the verdict */
  guint64 ticket;
  enum msg_verdict verdict;
  gboolean replies_to_result; /* acknowledges a result; else on an intent */
  gboolean unsettled;         /* AWAY: the intent may yet be recorded */
  guint32 status;             /* HTTP status of the stored answer */
  struct str content_type;    /* borrowed */
  struct str answer;          /* borrowed */
};

/* Acknowledged by a verdict OF_RESULT on its ticket: DONE once the answer is
   stored, AWAY once no intent of the ticket stands, UNKNOWN if the answer is
   too large to be kept.  */
struct msg_ledger_result
{
  guint64 incarnation; /* of the entry */
  guint64 ticket;      /* of the intent that this ends */
  guint8 key[MSG_KEY_BYTES];
  gboolean did_not_run; /* frees the key for another try */
  guint32 status;
  struct str content_type; /* borrowed */
  struct str answer;       /* borrowed; at most MSG_RESPONSE_MAX */
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

/* Returns a copy of MSG that owns all it refers to; freed by msg_free. */
struct msg *msg_copy (const struct msg *msg);
void msg_free (struct msg *copy);

const char *msg_kind_name (enum msg_kind kind);
const char *msg_reason_name (enum msg_reason reason);
const char *msg_result_name (enum msg_result result);
const char *msg_verdict_name (enum msg_verdict verdict);

#endif
