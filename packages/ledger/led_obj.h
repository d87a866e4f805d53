/* Values of the ledger's objects: msgpack. Internal to the package.

   A value is the array [format, first, next, closes, time, records, holders].
   In the head, FIRST to NEXT - 1 are the closed segments in retention. In a
   segment, FIRST is its own number and NEXT the one after. CLOSES is the
   version of the head whose records were closed last. TIME is that of the
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

struct led_obj;

/* The records of a value. Where two have the same key, the last one named
   here stands. */
struct led_obj_parts
{
  const struct led_obj *base; /* NULL: none */
  gboolean head;              /* those of the table's head */
  GHashTable *writes;         /* set of struct led_rec, by key; NULL: none */
};

GBytes *led_obj_encode (const struct led_obj_header *header,
                        struct led_tab *tab, const struct led_obj_parts *parts);

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
