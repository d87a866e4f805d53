#include "scale/server_orders.h"

struct server_orders
{
  gint64 observed_at; /* clock time; 0: not yet */
};

struct server_orders *
server_orders_new (void)
{
  return g_new0 (struct server_orders, 1);
}

void
server_orders_free (struct server_orders *orders)
{
  g_free (orders);
}

void
server_orders_observe (struct server_orders *orders,
                       const struct server_orders_view *view, gint64 now)
{
  (void)view;
  orders->observed_at = now;
}

void
server_orders_load (struct server_orders *orders, struct str section,
                    gboolean era_changed, gint64 now)
{
  (void)orders, (void)section, (void)era_changed, (void)now;
}

gboolean
server_orders_prepare (struct server_orders *orders, gint64 now,
                       GString *section)
{
  (void)orders, (void)now, (void)section;
  return FALSE;
}

void
server_orders_stored (struct server_orders *orders, gint64 now)
{
  (void)orders, (void)now;
}

gboolean
server_orders_next (struct server_orders *orders, gint64 now,
                    struct server_order *order)
{
  (void)orders, (void)now, (void)order;
  return FALSE;
}

void
server_orders_done (struct server_orders *orders,
                    const struct server_order *order, int code, gint64 now)
{
  (void)orders, (void)order, (void)code, (void)now;
}
