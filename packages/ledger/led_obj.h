/* Values of the ledger's objects: msgpack. Internal to the package.

   A value is the array [format, first, next, closes, time, records, holders].
   In the head, FIRST to NEXT - 1 are the closed segments in retention and
   CLOSES is 0. In a segment, FIRST is its own number, NEXT the one after and
   CLOSES the version of the head whose records it holds. TIME is that of the
   write, seconds since 1970 UTC. A record is [key, body, state, holder,
   ticket, time], followed by [status, content type, answer] for state "done";
   HOLDER is an index into HOLDERS, whose items are [id, incarnation].  */
#ifndef LED_OBJ_H
#define LED_OBJ_H

#include "base/err.h"
#include "ledger/led_tab.h"

struct led_obj_header
{
  guint32 first;
  guint32 next;
  guint64 closes;
  guint32 time;
};

/* Records of the head that are to be written, in any order. */
struct led_obj_writes
{
  GHashTable *recs; /* set of struct led_rec, by key; NULL: none */
  gboolean only;    /* leave out the present head's */
};

GBytes *led_obj_encode (const struct led_obj_header *header,
                        const struct led_tab *tab,
                        const struct led_obj_writes *writes);

struct led_obj;

int led_obj_decode (GBytes *value, struct led_obj **obj);
void led_obj_free (struct led_obj *obj);
const struct led_obj_header *led_obj_header (const struct led_obj *obj);
guint led_obj_size (const struct led_obj *obj);
/* One record as read; the texts borrow from OBJ. */
struct led_obj_record
{
  struct led_rec rec; /* kept is NULL, holder is not set */
  struct str holder;
  guint64 incarnation;
  guint32 status;
  struct str content_type;
  struct str answer;
};
void led_obj_record (const struct led_obj *obj, guint i,
                     struct led_obj_record *record);

#endif
