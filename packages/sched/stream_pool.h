/* Sizes of the pools of engines that are kept for isolated streams, those with
   the shortest inter-event gaps: one pool in each failure domain.  */
#ifndef STREAM_POOL_H
#define STREAM_POOL_H

#include "base/clock.h"
#include "base/str.h"

#include <json-glib/json-glib.h>

/* What the pool of one domain has to carry.  */
struct stream_pool_demand
{
  guint engines; /* of the domain that may be used */
  guint batch;   /* requests side by side on each, at most */
  guint streams; /* isolated ones in progress or about to start there */
};

/* The last engines of a domain by rank.  */
struct stream_pool_size
{
  guint pool;  /* engines that isolated streams run on */
  guint guard; /* engines that other long prompts avoid: the pool and those that
                  it is about to take */
};

/* A change of a pool's size at this instance.  */
struct stream_pool_change
{
  const char *service;
  const char *domain;
  guint before; /* engines */
  guint after;  /* engines */
  struct stream_pool_demand demand;
};

typedef void (*stream_pool_resized) (void *ctx,
                                     const struct stream_pool_change *change);

struct stream_pools;

struct stream_pools *stream_pools_new (stream_pool_resized resized, void *ctx);
void stream_pools_free (struct stream_pools *pools);
struct stream_pool_size
stream_pools_update (struct stream_pools *pools, const char *service,
                     const char *domain,
                     const struct stream_pool_demand *demand, gint64 now);
gboolean stream_pools_any (const struct stream_pools *pools);
void stream_pools_dump (const struct stream_pools *pools, JsonBuilder *json);

#endif
