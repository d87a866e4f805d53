/* Keeps in the store what instances have to agree on about the versions of
   servers, and what must outlive them: the table of versions, and while streams
   may begin at any version, those that each instance has seen begin. Asks peers
   about streams.  */
#ifndef VERSION_KEEPER_H
#define VERSION_KEEPER_H

#include "base/counter.h"
#include "peer/gossip.h"
#include "route/routing_table.h"
#include "streams/stream_versions.h"

struct version_keeper;

struct version_keeper_options
{
  const char *store_address; /* IP:PORT */
  const char *id;            /* of this instance */
  const char *domain;
  guint32 ip;                      /* own, host byte order */
  const struct clk *clk;           /* borrowed */
  struct counter_set *counter_set; /* borrowed */
  const struct registry *registry; /* borrowed */
  gossip_send_fn send;
  /* Searches may have ended, or the table has changed. */
  void (*changed) (void *ctx);
  void *ctx;
};

struct version_keeper *
version_keeper_new (const struct version_keeper_options *options);
void version_keeper_free (struct version_keeper *keeper);
struct stream_versions *version_keeper_versions (struct version_keeper *keeper);
void version_keeper_set_gossip (struct version_keeper *keeper,
                                const struct gossip *gossip, guint32 ip);
void version_keeper_set_routes (struct version_keeper *keeper,
                                const struct routing_table *routing_table);
void version_keeper_observe (struct version_keeper *keeper);
void version_keeper_dump (const struct version_keeper *keeper,
                          JsonBuilder *json);
void version_keeper_step (struct version_keeper *keeper);
void version_keeper_store_changed (struct version_keeper *keeper, guint64 era);
gboolean version_keeper_heard (struct version_keeper *keeper, guint64 number);
int version_keeper_take (struct version_keeper *keeper, struct str text);
gboolean version_keeper_receive (struct version_keeper *keeper, guint32 ip,
                                 struct str bytes);

#endif
