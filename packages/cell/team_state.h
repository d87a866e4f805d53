/* Weights, limits and request counts of the teams in one shard.  */
#ifndef TEAM_STATE_H
#define TEAM_STATE_H

#include "base/str.h"
#include "config/cluster_config.h"

struct team_state
{
  /* "" stands for all teams that are not in the configuration. */
  struct str_id name;
  double weight;     /* in fair queueing within a class */
  guint max_running; /* 0: no limit */
  guint n_running;   /* granted or running, over all classes */
  guint n_requests;  /* waiting or running, over all classes */
  gboolean removed;  /* no longer in the configuration; freed when it has no
                        requests */
};

struct team_table
{
  GHashTable *teams; /* name -> struct team_state, owned */
};

void team_table_init (struct team_table *table);
void team_table_clear (struct team_table *table);
void team_table_set (struct team_table *table,
                     const struct cluster_config *cfg);
struct team_state *team_find (const struct team_table *table, const char *name);
gboolean team_is_at_limit (const struct team_state *team);

#endif
