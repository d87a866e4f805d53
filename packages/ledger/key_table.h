/* In-memory table of one shard's keys: the records of the head object in full,
   those of the closed segments without their responses. Internal to the
   package.  */
#ifndef KEY_TABLE_H
#define KEY_TABLE_H

#include <glib.h>

#include "base/str.h"
#include "msg/msg.h"

/* State of a key. X (NAME, "name") */
#define LEDGER_STATES(X)                                                       \
  X (NONE, "none")      /* nothing is recorded */                              \
  X (PENDING, "intent") /* the request may run or have run */                  \
  X (DONE, "done")      /* the response is stored; final */                    \
  X (RELEASED, "freed") /* the request certainly did not run */

enum ledger_state
{
#define LEDGER_STATE_ENUM(id, name) LEDGER_##id,
  LEDGER_STATES (LEDGER_STATE_ENUM)
#undef LEDGER_STATE_ENUM
};

/* Value of ledger_key_record.seq for a record in the head. */
#define LEDGER_IN_HEAD G_MAXUINT32

/* A stored HTTP response, allocated in one block; freed by g_free. */
struct ledger_response
{
  guint32 status;          /* HTTP status */
  struct str content_type; /* in this block */
  struct str body;         /* in this block */
};

/* One incarnation of an ingress. */
struct ledger_ingress
{
  struct str_id id;
  guint64 incarnation;
};

struct ledger_key_record
{
  guint8 key[MSG_KEY_BYTES];
  guint8 body_digest[MSG_KEY_BYTES];
  guint64 record_id;
  struct ledger_response *response; /* DONE in the head, owned; else NULL */
  guint32 ingress;                  /* see ledger_table_ingress_index */
  guint32 time;                     /* of the record, seconds since 1970 UTC */
  guint32 seq;  /* number of the newest segment with it, or LEDGER_IN_HEAD */
  guint8 state; /* enum ledger_state */
};

struct ledger_table
{
  GHashTable *records;  /* set of struct ledger_key_record, by key */
  GPtrArray *head;      /* struct ledger_key_record in the head, borrowed */
  GHashTable *segments; /* loaded segments by number */
  GPtrArray *ingresses; /* struct ledger_ingress, owned */
  GHashTable *ingress_index; /* struct ledger_ingress to its index */
  guint32 first_segment;     /* oldest retained segment */
  guint32 next_segment;      /* number of the next segment */
  guint64 rotated_version;   /* head version that was rotated last */
};

struct ledger_response *
ledger_response_new (guint32 status, struct str content_type, struct str body);
const char *ledger_state_name (guint state);
guint ledger_key_hash (gconstpointer rec);
gboolean ledger_key_equal (gconstpointer a, gconstpointer b);

struct ledger_table *ledger_table_new (void);
void ledger_table_free (struct ledger_table *table);
guint32 ledger_table_ingress_index (struct ledger_table *table, struct str id,
                                    guint64 incarnation);
const struct ledger_ingress *
ledger_table_ingress_at (const struct ledger_table *table, guint32 ingress);
const struct ledger_key_record *
ledger_table_find (const struct ledger_table *table,
                   const guint8 key[MSG_KEY_BYTES]);
guint ledger_table_size (const struct ledger_table *table);
void ledger_table_put (struct ledger_table *table,
                       const struct ledger_key_record *rec);
void ledger_table_clear_head (struct ledger_table *table);
gboolean ledger_table_has_segment (const struct ledger_table *table,
                                   guint32 seq);
void ledger_table_reopen_segment (struct ledger_table *table, guint32 seq);
void ledger_table_add_segment (struct ledger_table *table, guint32 seq,
                               guint32 time);
void ledger_table_put_in_segment (struct ledger_table *table, guint32 seq,
                                  const struct ledger_key_record *rec);
void ledger_table_rotate_head (struct ledger_table *table, guint32 seq,
                               guint32 time);
guint32 ledger_table_first_retained (const struct ledger_table *table,
                                     guint32 before);
void ledger_table_expire (struct ledger_table *table, guint32 first);

#endif
