/* Orders to a stand-in engine: fencing numbers, models and role. */
#ifndef ORD_H
#define ORD_H

#include <glib.h>
#include <json-glib/json-glib.h>

struct ord
{
  gboolean checks_fence; /* refuses an order with an old fencing number */
  guint64 fence;         /* the newest one seen */
  char *last_id;
  char *role;
  GPtrArray *models; /* char *, owned */
};

struct ord_order
{
  guint64 fence;
  const char *id;
  const char *kind;
  const char *name;
};

enum ord_result
{
  ORD_APPLIED,
  ORD_REPEATED, /* it was the last one applied; nothing changed */
  ORD_OLD_FENCE,
  ORD_INVALID
};

void ord_init (struct ord *ord, gboolean checks_fence);
void ord_clear (struct ord *ord);
gboolean ord_parse (struct ord_order *order, JsonObject *object);
enum ord_result ord_apply (struct ord *ord, const struct ord_order *order);
char *ord_to_json (const struct ord *ord);

#endif
