/* Values of the ledger's objects: msgpack. Internal to the package.

   A value is the array [format, first, next, closes, time, records, holders].
   In the head, FIRST to NEXT - 1 are the closed segments in retention. In a
   segment, FIRST is its own number and NEXT the one after. CLOSES is the
   version of the head whose records were closed last. TIME is that of the
   write, seconds since 1970 UTC. A record is [key, body, state, holder,
   ticket, time], followed by [status, content type, answer] for state "done";
   HOLDER is an index into HOLDERS, whose items are [id, incarnation].  */
#ifndef OBJECT_CODEC_H
#define OBJECT_CODEC_H

#include "base/err.h"
#include "ledger/key_table.h"

struct ledger_object_header
{
  guint32 first;
  guint32 next;
  guint64 rotated_version;
  guint32 time;
};

struct ledger_object;

/* The records of a value. Where two have the same key, the last one named
   here stands. */
struct ledger_object_parts
{
  const struct ledger_object *base; /* NULL: none */
  gboolean head;                    /* those of the table's head */
  GHashTable *writes; /* set of struct ledger_key_record, by key; NULL: none */
};

GBytes *ledger_object_encode (const struct ledger_object_header *header,
                              struct ledger_table *table,
                              const struct ledger_object_parts *parts);

int ledger_object_decode (GBytes *value, struct ledger_object **obj);
void ledger_object_free (struct ledger_object *obj);
const struct ledger_object_header *
ledger_object_header (const struct ledger_object *obj);
guint ledger_object_record_count (const struct ledger_object *obj);
/* One record as read; the texts borrow from OBJ. */
struct ledger_object_record
{
  struct ledger_key_record rec; /* kept is NULL, holder is not set */
  struct str ingress;
  guint64 incarnation;
  guint32 status;
  struct str content_type;
  struct str body;
};
void ledger_object_record (const struct ledger_object *obj, guint i,
                           struct ledger_object_record *record);

#endif
