/* The inside of struct led, shared by led.c (intake and time limits),
   led_batch.c (group commit and verdicts) and led_load.c (store calls,
   reading and rotation).  */
#ifndef LEDGER_INTERNAL_H
#define LEDGER_INTERNAL_H

#include "ledger/ledger.h"
#include "ledger/object_codec.h"
#include "ledger/key_table.h"

/* What the memory says of the store. X (NAME, "name") */
#define LEDGER_PHASES(X)                                                       \
  X (HEAD_UNREAD, "cold") /* the head is to be read */                         \
  X (LOADING, "loading")  /* closed segments are being read */                 \
  X (READY, "ready")      /* the state at led.version */

enum ledger_phase
{
#define LEDGER_PHASE_ENUM(id, name) LEDGER_##id,
  LEDGER_PHASES (LEDGER_PHASE_ENUM)
#undef LEDGER_PHASE_ENUM
};

/* X (KIND, "name") */
#define LEDGER_OPS(X)                                                          \
  X (READ_HEAD, "read_head")                                                   \
  X (WRITE_HEAD, "write_head")                                                 \
  X (READ_SLOT, "read_slot")       /* what a segment's slot holds */           \
  X (WRITE_SLOT, "write_slot")     /* closes the head's records */             \
  X (READ_SEGMENT, "read_segment") /* into memory */                           \
  X (READ_RESPONSE, "read_answer") /* of a key in a closed segment */

enum ledger_op_kind
{
#define LEDGER_OP_ENUM(id, name) LEDGER_##id,
  LEDGER_OPS (LEDGER_OP_ENUM)
#undef LEDGER_OP_ENUM
};

#define LEDGER_OPS_MAX 8           /* store calls open at a time */
#define LEDGER_SEGMENT_READS_MAX 4 /* of them reads of segments */
#define LEDGER_BATCH_MAX 256       /* intents and results in one write */

struct ledger_op
{
  guint64 token; /* 0: unused */
  enum ledger_op_kind kind;
  guint32 seq; /* segment */
};

/* An intent or a result that waits. */
struct ledger_item
{
  gboolean is_result;
  struct str_id from;
  guint64 incarnation;
  guint64 ticket;
  guint32 ingress; /* the table's number of FROM and INCARNATION */
  guint8 key[MSG_KEY_BYTES];
  guint8 body_digest[MSG_KEY_BYTES]; /* of an intent */
  gint64 arrived_at;                 /* clock time, microseconds */
  gboolean in_batch;                 /* decided by the call that is open */
  gboolean staged;                   /* its record is in the open write */
  gboolean write_open;               /* a write with its intent may yet land */
  gboolean write_was_open;           /* the same, before the open write */
  gboolean did_not_run;
  struct ledger_response *response; /* answer of a result, owned; else NULL */
};

struct ledger_shard
{
  struct ledger_options options; /* limits filled in */
  GRand *rand;
  struct ledger_table *table;
  enum ledger_phase phase;
  guint64 version;     /* of the head in memory; 0: there is none */
  guint64 min_version; /* a head read below it is not believed */
  gboolean unresolved; /* a write that expects VERSION may yet land */
  gboolean busy;       /* a call other than READ_ANSWER is open */
  struct ledger_op ops[LEDGER_OPS_MAX];
  guint64 last_token;
  GQueue queue;       /* of struct ledger_item */
  GQueue replays;     /* of struct ledger_item, for READ_ANSWER */
  GHashTable *staged; /* set of struct ledger_key_record in the open write */
  struct ledger_object_header write; /* of the open write */
  gint64 last_read_at;               /* start, clock time, microseconds */
  gint64 last_write_at;              /* start, clock time, microseconds */
  gint64 synced_at;       /* memory was the store's state, clock time */
  gint64 contended_until; /* another instance wrote lately, clock time */
  gint64 next_call_at;    /* no call before, clock time, microseconds */
  gint64 next_replay_at;  /* no READ_ANSWER before */
  guint failures;         /* since the last success */
  guint conflicts;        /* since the last write that held */
  int last_error;
  guint32 next_load;   /* next segment to read */
  guint segment_reads; /* reads of segments open */
  guint32 slot_seq;    /* segment that gets the head's records */
  gboolean slot_ready; /* its slot holds them as they are at VERSION */
};

/* led.c */
void ledger_item_free (struct ledger_item *item);
void ledger_send_reply (struct ledger_shard *ledger,
                        const struct ledger_item *item,
                        enum msg_verdict verdict,
                        const struct ledger_response *response);
GList *ledger_find_item (struct ledger_shard *ledger,
                         const struct ledger_item *item, gboolean is_result);
guint32 ledger_wall_seconds (const struct ledger_shard *ledger);

/* led_batch.c */
void ledger_start_next_call (struct ledger_shard *ledger);
gboolean ledger_try_reply (struct ledger_shard *ledger,
                           struct ledger_item *item);
void ledger_reply_batch (struct ledger_shard *ledger);
void ledger_head_written (struct ledger_shard *ledger,
                          const struct storage_response *response);
void ledger_set_version (struct ledger_shard *ledger, guint64 version);

/* led_load.c */
void ledger_call_failed (struct ledger_shard *ledger, int code,
                         gint64 retry_after_us);
void ledger_read_head (struct ledger_shard *ledger);
void ledger_write_head (struct ledger_shard *ledger, GBytes *value);
void ledger_rotate_head (struct ledger_shard *ledger);
void ledger_start_replay (struct ledger_shard *ledger);

#endif
