/* The teams as one cell knows them.  */
#ifndef TEM_H
#define TEM_H

#include "base/str.h"
#include "config/cluster_config.h"

struct tem
{
  struct str_id name; /* "" for all teams outside the configuration */
  double weight;      /* in fair queueing within a class */
  guint max_running;  /* 0: no limit */
  guint n_running;    /* granted or running, over all classes */
  guint n_tickets;    /* waiting or running, over all classes */
  gboolean gone;      /* left the configuration; goes when idle */
};

struct tem_table
{
  GHashTable *teams; /* name -> struct tem, owned */
};

void tem_table_init (struct tem_table *table);
void tem_table_clear (struct tem_table *table);
void tem_table_set (struct tem_table *table, const struct cluster_config *cfg);
struct tem *tem_find (const struct tem_table *table, const char *name);
gboolean tem_at_limit (const struct tem *tem);

#endif
