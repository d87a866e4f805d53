/* The inside of struct led, shared by led.c (intake and time limits),
   led_batch.c (group commit and verdicts) and led_load.c (store calls,
   reading and rotation).  */
#ifndef LED_PRIV_H
#define LED_PRIV_H

#include "ledger/led.h"
#include "ledger/led_obj.h"
#include "ledger/led_tab.h"

/* What the memory says of the store. X (NAME, "name") */
#define LED_PHASES(X)                                                          \
  X (COLD, "cold")       /* the head is to be read */                          \
  X (LOADING, "loading") /* closed segments are being read */                  \
  X (READY, "ready")     /* the state at led.version */

enum led_phase
{
#define LED_PHASE_ENUM(id, name) LED_##id,
  LED_PHASES (LED_PHASE_ENUM)
#undef LED_PHASE_ENUM
};

/* X (KIND, "name") */
#define LED_OPS(X)                                                             \
  X (READ_HEAD, "read_head")                                                   \
  X (WRITE_HEAD, "write_head")                                                 \
  X (READ_SLOT, "read_slot")       /* what a segment's slot holds */           \
  X (WRITE_SLOT, "write_slot")     /* closes the head's records */             \
  X (READ_SEGMENT, "read_segment") /* into memory */                           \
  X (READ_ANSWER, "read_answer")   /* of a key in a closed segment */

enum led_op_kind
{
#define LED_OP_ENUM(id, name) LED_##id,
  LED_OPS (LED_OP_ENUM)
#undef LED_OP_ENUM
};

#define LED_OPS_MAX 8     /* store calls open at a time */
#define LED_LOADS_MAX 4   /* of them reads of segments */
#define LED_BATCH_MAX 256 /* intents and results in one write */

struct led_op
{
  guint64 token; /* 0: unused */
  enum led_op_kind kind;
  guint32 seq; /* segment */
};

/* An intent or a result that waits. */
struct led_item
{
  gboolean is_result;
  struct str_id from;
  guint64 incarnation;
  guint64 ticket;
  guint32 holder; /* the table's number of FROM and INCARNATION */
  guint8 key[MSG_KEY_BYTES];
  guint8 body[MSG_KEY_BYTES]; /* of an intent */
  gint64 arrived;             /* clock time, microseconds */
  gboolean in_batch;          /* decided by the call that is open */
  gboolean staged;            /* its record is in the open write */
  gboolean open;              /* a write with its intent may yet land */
  gboolean was_open;          /* the same, before the open write */
  gboolean did_not_run;
  struct led_kept *kept; /* answer of a result, owned; else NULL */
};

struct led
{
  struct led_options options; /* limits filled in */
  GRand *rand;
  struct led_tab *tab;
  enum led_phase phase;
  guint64 version;     /* of the head in memory; 0: there is none */
  guint64 min_version; /* a head read below it is not believed */
  gboolean unresolved; /* a write that expects VERSION may yet land */
  gboolean busy;       /* a call other than READ_ANSWER is open */
  struct led_op ops[LED_OPS_MAX];
  guint64 last_token;
  GQueue queue;                /* of struct led_item */
  GQueue replays;              /* of struct led_item, for READ_ANSWER */
  GHashTable *staged;          /* set of struct led_rec in the open write */
  struct led_obj_header write; /* of the open write */
  gint64 last_read;            /* start, clock time, microseconds */
  gint64 last_write;           /* start, clock time, microseconds */
  gint64 synced;               /* memory was the store's state, clock time */
  gint64 shared_until;         /* another instance wrote lately, clock time */
  gint64 retry_at;             /* no call before, clock time, microseconds */
  gint64 replay_at;            /* no READ_ANSWER before */
  guint failures;              /* since the last success */
  guint conflicts;             /* since the last write that held */
  int last_error;
  guint32 load_next;   /* next segment to read */
  guint loads;         /* reads of segments open */
  guint32 slot_seq;    /* segment that gets the head's records */
  gboolean slot_ready; /* its slot holds them as they are at VERSION */
};

/* led.c */
void led_item_free (struct led_item *item);
void led_say (struct led *led, const struct led_item *item,
              enum msg_verdict verdict, const struct led_kept *kept);
GList *led_find_item (struct led *led, const struct led_item *item,
                      gboolean is_result);
guint32 led_seconds (const struct led *led);

/* led_batch.c */
void led_pump (struct led *led);
gboolean led_decide (struct led *led, struct led_item *item);
void led_decide_batch (struct led *led);
void led_head_written (struct led *led, const struct sto_answer *answer);
void led_version_moved (struct led *led, guint64 version);

/* led_load.c */
void led_fail (struct led *led, int code, gint64 retry_after_us);
void led_read_head (struct led *led);
void led_write_head (struct led *led, GBytes *value);
void led_close_head (struct led *led);
void led_replay (struct led *led);

#endif
