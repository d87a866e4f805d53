/* The orders that a stand-in engine receives: it loads models and sets its
   role, and rejects orders with an old fencing number.  */
#ifndef ORDER_RECEIVER_H
#define ORDER_RECEIVER_H

#include <glib.h>
#include <json-glib/json-glib.h>

struct receiver
{
  gboolean checks_fence; /* rejects an order with an old fencing number */
  guint64 fence;         /* newest fencing number applied */
  char *last_id;
  char *role;
  GPtrArray *models; /* char *, owned */
};

struct receiver_order
{
  guint64 fence;
  const char *id;
  const char *kind;
  const char *name;
};

enum receiver_result
{
  RECEIVER_APPLIED,
  RECEIVER_REPEATED, /* same id as the last order; nothing changed */
  RECEIVER_OLD_FENCE,
  RECEIVER_INVALID
};

void receiver_init (struct receiver *receiver, gboolean checks_fence);
void receiver_clear (struct receiver *receiver);
gboolean receiver_parse (struct receiver_order *order, JsonObject *object);
enum receiver_result receiver_apply (struct receiver *receiver,
                                     const struct receiver_order *order);
char *receiver_to_json (const struct receiver *receiver);

#endif
