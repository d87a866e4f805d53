/* Keeps the table of versions in the store, for all instances, and changes it
   when servers of another version come or have gone.  */
#ifndef VERSION_KEEPER_H
#define VERSION_KEEPER_H

#include "base/counter.h"
#include "peer/gossip.h"
#include "route/routing_table.h"
#include "streams/stream_versions.h"

struct version_keeper;

struct version_keeper_options
{
  const char *store_address;        /* IP:PORT */
  const struct clk *clk;            /* borrowed */
  struct counter_set *counter_set;  /* borrowed */
  const struct registry *registry;  /* borrowed */
  struct stream_versions *versions; /* borrowed; has the table */
  /* The table has changed. */
  void (*changed) (void *ctx);
  void *ctx;
};

struct version_keeper *
version_keeper_new (const struct version_keeper_options *options);
void version_keeper_free (struct version_keeper *keeper);
void version_keeper_set_gossip (struct version_keeper *keeper,
                                const struct gossip *gossip);
void version_keeper_set_routes (struct version_keeper *keeper,
                                const struct routing_table *routing_table);
void version_keeper_observe (struct version_keeper *keeper);
void version_keeper_step (struct version_keeper *keeper);
void version_keeper_store_changed (struct version_keeper *keeper, guint64 era);
void version_keeper_confirm (struct version_keeper *keeper);
gboolean version_keeper_heard (struct version_keeper *keeper, guint64 number);
int version_keeper_take (struct version_keeper *keeper, struct str text);
void version_keeper_dump (const struct version_keeper *keeper,
                          JsonBuilder *json);

#endif
