/* Accounts for the usage of the services: counts what requests of this instance
   use, tells the collectors, and takes what other instances tell.  */
#ifndef USAGE_KEEPER_H
#define USAGE_KEEPER_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "gate/reverse_proxy.h"
#include "peer/gossip.h"
#include "settings/proxy_settings.h"
#include "usage/usage_account.h"
#include "usage/usage_reports.h"

struct usage_keeper;

/* All pointers are borrowed. */
struct usage_keeper_options
{
  const struct proxy_settings *settings;
  const struct clk *clk;
  struct counter_set *counter_set;
  const struct gossip *gossip;
  guint32 ip;          /* own, host byte order */
  guint32 incarnation; /* random number, new at each start */
  gossip_send_fn send;
  void *ctx; /* for SEND */
};

/* Returns NULL if the settings do not ask for reports; the functions below then
   do nothing. */
struct usage_keeper *
usage_keeper_new (const struct usage_keeper_options *options);
void usage_keeper_free (struct usage_keeper *keeper);
void usage_keeper_step (struct usage_keeper *keeper, gint64 now);
gboolean usage_keeper_receive (struct usage_keeper *keeper, guint32 ip,
                               struct str bytes, gint64 now);
void usage_keeper_count (struct usage_keeper *keeper,
                         const struct proxy_usage *usage);
void usage_keeper_flush (struct usage_keeper *keeper, gint64 now);
void usage_keeper_dump (const struct usage_keeper *keeper, JsonBuilder *json);

/* For the holder of the duties. */
gint64 usage_keeper_true_time (struct usage_keeper *keeper, gint64 now);
struct usage_account *usage_keeper_account (struct usage_keeper *keeper);
struct usage_reports *usage_keeper_reports (struct usage_keeper *keeper);

#endif
