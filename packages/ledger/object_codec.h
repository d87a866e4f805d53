/* Encoding of the ledger's objects in the object store: msgpack. Internal to
   the package.

   A value is the array [format, first segment, next segment, rotated version,
   time, records, ingresses]. In the head, FIRST_SEGMENT to NEXT_SEGMENT - 1 are
   the closed segments in retention. In a segment, FIRST_SEGMENT is its own
   number and NEXT_SEGMENT the one after. ROTATED_VERSION is the version of the
   head whose records were moved to a segment last. TIME is that of the write,
   seconds since 1970 UTC. A record is [key, body digest, state, ingress,
   record id, time], followed by [status, content type, response body] in state
   "done"; INGRESS is an index into INGRESSES, whose items are [id,
   incarnation].  */
#ifndef OBJECT_CODEC_H
#define OBJECT_CODEC_H

#include "base/err.h"
#include "ledger/key_table.h"

struct ledger_object_header
{
  guint32 first_segment;
  guint32 next_segment;
  guint64 rotated_version;
  guint32 time;
};

struct ledger_object;

/* The sources of a value's records. Of two records with the same key, the one
   from the source named later here is encoded. */
struct ledger_object_parts
{
  const struct ledger_object *base; /* NULL: none */
  gboolean head;                    /* include the table's head */
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
/* A decoded record; its strings borrow from OBJ. */
struct ledger_object_record
{
  struct ledger_key_record rec; /* response is NULL, ingress is not set */
  struct str ingress;
  guint64 incarnation;
  guint32 status;
  struct str content_type;
  struct str body;
};
void ledger_object_record (const struct ledger_object *obj, guint i,
                           struct ledger_object_record *record);

#endif
