/* Performs the duties while this instance holds their lease: usage reports and
   orders of servers, one call at a time. Joins the lease and its record in the
   store, the client of the platform's API, and what decides on the calls.  */
#ifndef DUTY_KEEPER_H
#define DUTY_KEEPER_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "peer/gossip.h"
#include "scale/server_orders.h"
#include "settings/proxy_settings.h"
#include "usage/usage_reports.h"

struct duty_keeper;

struct duty_keeper_options
{
  const struct proxy_settings *settings; /* borrowed */
  const struct clk *clk;                 /* borrowed; counts suspension */
  struct counter_set *counter_set;       /* borrowed */
  const struct gossip *gossip;           /* borrowed */
  struct usage_reports *reports;         /* borrowed; NULL: not a duty */
  guint32 incarnation;
  guint32 seed;
  /* Returns the true time, microseconds since 1970; NULL: the wall clock. */
  gint64 (*true_now) (void *ctx);
  /* Shows the fleet to ORDERS, by server_orders_observe; about once a second
     while the lease is held. */
  void (*observe) (void *ctx, struct server_orders *orders, gint64 now);
  void *ctx;
};

/* Returns NULL if the settings have no duties. */
struct duty_keeper *duty_keeper_new (const struct duty_keeper_options *options);
void duty_keeper_free (struct duty_keeper *keeper);
/* Does what is due; called at each tick. STORE_ERA: the newest one known.
   STOPPING: this instance shuts down and no longer acts. */
void duty_keeper_step (struct duty_keeper *keeper, guint64 store_era,
                       gboolean stopping);
/* Returns the fencing token while the lease is held, else 0. KEEPER may be
   NULL, here and above. */
guint64 duty_keeper_fence (const struct duty_keeper *keeper);
void duty_keeper_dump (const struct duty_keeper *keeper, JsonBuilder *json);

#endif
