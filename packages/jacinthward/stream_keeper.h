/* Finds where streams have begun, while that may be at any version: asks peers
   and reads the store, and tells and saves what this instance has seen.  */
#ifndef STREAM_KEEPER_H
#define STREAM_KEEPER_H

#include "base/counter.h"
#include "peer/gossip.h"
#include "streams/stream_versions.h"

struct stream_keeper;

struct stream_keeper_options
{
  const char *store_address; /* IP:PORT */
  const char *id;            /* of this instance */
  const char *domain;
  const struct clk *clk;           /* borrowed */
  struct counter_set *counter_set; /* borrowed */
  gossip_send_fn send;
  /* As in struct stream_versions_options. */
  void (*confirm_table) (void *ctx);
  /* Searches may have ended. */
  void (*changed) (void *ctx);
  void *ctx;
};

struct stream_keeper *
stream_keeper_new (const struct stream_keeper_options *options);
void stream_keeper_free (struct stream_keeper *keeper);
struct stream_versions *stream_keeper_versions (struct stream_keeper *keeper);
void stream_keeper_set_gossip (struct stream_keeper *keeper,
                               const struct gossip *gossip, guint32 ip);
void stream_keeper_step (struct stream_keeper *keeper);
void stream_keeper_store_changed (struct stream_keeper *keeper);
gboolean stream_keeper_receive (struct stream_keeper *keeper, guint32 ip,
                                struct str bytes);
void stream_keeper_dump (const struct stream_keeper *keeper, JsonBuilder *json);

#endif
