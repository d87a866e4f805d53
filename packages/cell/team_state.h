/* The teams as one cell knows them.  */
#ifndef TEAM_STATE_H
#define TEAM_STATE_H

#include "base/str.h"
#include "config/cfg.h"

struct team_state
{
  struct str_id name; /* "" for all teams outside the configuration */
  double weight;      /* in fair queueing within a class */
  guint max_running;  /* 0: no limit */
  guint n_running;    /* granted or running, over all classes */
  guint n_tickets;    /* waiting or running, over all classes */
  gboolean gone;      /* left the configuration; goes when idle */
};

struct team_table
{
  GHashTable *teams; /* name -> struct tem, owned */
};

void team_table_init (struct team_table *table);
void team_table_clear (struct team_table *table);
void team_table_set (struct team_table *table, const struct cfg *cfg);
struct team_state *team_find (const struct team_table *table, const char *name);
gboolean team_is_at_limit (const struct team_state *team_state);

#endif
