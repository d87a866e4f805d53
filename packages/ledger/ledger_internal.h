/* Internals of struct ledger_shard, shared by ledger.c (queue and time limits),
   group_commit.c (batches and verdicts) and object_io.c (requests to the
   object store, loading and rotation).

   The store has one head object per shard, which holds the newest key records,
   and closed segments with the older ones. When the head is full, its records
   are moved to a segment (rotation): first the segment is written, then the
   head without them.  */
#ifndef LEDGER_INTERNAL_H
#define LEDGER_INTERNAL_H

#include "ledger/ledger.h"
#include "ledger/object_codec.h"
#include "ledger/key_table.h"

/* How much of the store's state is in memory. X (NAME, "name") */
#define LEDGER_PHASES(X)                                                       \
  X (HEAD_UNREAD, "cold") /* the head must be read */                          \
  X (LOADING, "loading")  /* closed segments are being read */                 \
  X (READY, "ready")      /* complete, as of ledger_shard.version */

enum ledger_phase
{
#define LEDGER_PHASE_ENUM(id, name) LEDGER_##id,
  LEDGER_PHASES (LEDGER_PHASE_ENUM)
#undef LEDGER_PHASE_ENUM
};

/* Requests to the object store. A slot is the object that a segment is stored
   in; LEDGER_SEGMENT_SLOTS of them are used in turn. X (KIND, "name") */
#define LEDGER_OPS(X)                                                          \
  X (READ_HEAD, "read_head")                                                   \
  X (WRITE_HEAD, "write_head")                                                 \
  X (READ_SLOT, "read_slot")       /* before a rotation */                     \
  X (WRITE_SLOT, "write_slot")     /* the head's records, for a rotation */    \
  X (READ_SEGMENT, "read_segment") /* load into memory */                      \
  X (READ_RESPONSE, "read_answer") /* of a key in a closed segment */

enum ledger_op_kind
{
#define LEDGER_OP_ENUM(id, name) LEDGER_##id,
  LEDGER_OPS (LEDGER_OP_ENUM)
#undef LEDGER_OP_ENUM
};

#define LEDGER_OPS_MAX 8           /* open requests to the store */
#define LEDGER_SEGMENT_READS_MAX 4 /* of these, READ_SEGMENT */
#define LEDGER_BATCH_MAX 256       /* records and results in one write */

struct ledger_op
{
  guint64 token; /* 0: unused */
  enum ledger_op_kind kind;
  guint32 seq; /* segment */
};

/* A queued write-ahead record or result. */
struct ledger_item
{
  gboolean is_result;
  struct str_id from;
  guint64 incarnation;
  guint64 record_id;
  guint32 ingress; /* ledger_table_ingress_index of FROM, INCARNATION */
  guint8 key[MSG_KEY_BYTES];
  guint8 body_digest[MSG_KEY_BYTES]; /* of a record */
  gint64 arrived_at;                 /* clock time, microseconds */
  gboolean in_batch;                 /* replied to when the open request ends */
  gboolean staged;                   /* the open write carries it */
  gboolean write_open;               /* a write that carries this record may
                                        still take effect */
  gboolean write_was_open;           /* the same, without the open write */
  gboolean did_not_run;
  struct ledger_response *response; /* of a result, owned; else NULL */
};

struct ledger_shard
{
  struct ledger_options options; /* limits filled in */
  GRand *rand;
  struct ledger_table *table;
  enum ledger_phase phase;
  guint64 version;     /* of the head in memory; 0: there is no head */
  guint64 min_version; /* a head read at a lower version is outdated */
  gboolean unresolved; /* a write that expects VERSION may still take effect */
  gboolean busy;       /* a request other than READ_RESPONSE is open */
  struct ledger_op ops[LEDGER_OPS_MAX];
  guint64 last_token;
  GQueue queue;       /* of struct ledger_item */
  GQueue replays;     /* of struct ledger_item, for READ_RESPONSE */
  GHashTable *staged; /* set of struct ledger_key_record in the open write */
  struct ledger_object_header write_header; /* of the open write */
  gint64 last_read_at;    /* start, clock time, microseconds */
  gint64 last_write_at;   /* start, clock time, microseconds */
  gint64 synced_at;       /* memory last matched the store, clock time */
  gint64 contended_until; /* another instance wrote recently, clock time */
  gint64 next_call_at;    /* no request before, clock time, microseconds */
  gint64 next_replay_at;  /* no READ_RESPONSE before, clock time */
  guint failures;         /* since the last success */
  guint conflicts;        /* since the last successful write */
  int last_error;
  guint32 next_segment_read; /* number of the next segment to load */
  guint segment_reads;       /* open READ_SEGMENT requests */
  guint32 slot_seq;          /* segment that the head is rotated into */
  gboolean slot_ready; /* its slot holds the head's records as of VERSION */
};

/* ledger.c */
void ledger_item_free (struct ledger_item *item);
void ledger_send_reply (struct ledger_shard *ledger,
                        const struct ledger_item *item,
                        enum msg_verdict verdict,
                        const struct ledger_response *response);
GList *ledger_find_item (struct ledger_shard *ledger,
                         const struct ledger_item *item, gboolean is_result);
guint32 ledger_wall_seconds (const struct ledger_shard *ledger);

/* group_commit.c */
void ledger_start_next_call (struct ledger_shard *ledger);
gboolean ledger_try_reply (struct ledger_shard *ledger,
                           struct ledger_item *item);
void ledger_reply_batch (struct ledger_shard *ledger);
void ledger_head_written (struct ledger_shard *ledger,
                          const struct storage_response *response);
void ledger_set_version (struct ledger_shard *ledger, guint64 version);

/* object_io.c */
void ledger_call_failed (struct ledger_shard *ledger, int code,
                         gint64 retry_after_us);
void ledger_read_head (struct ledger_shard *ledger);
void ledger_write_head (struct ledger_shard *ledger, GBytes *value);
void ledger_rotate_head (struct ledger_shard *ledger);
void ledger_start_replay (struct ledger_shard *ledger);

#endif
