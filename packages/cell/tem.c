#include "cell/tem.h"

static struct tem *
tem_add (struct tem_table *table, struct str_id name)
{
  struct tem *tem = g_new0 (struct tem, 1);
  tem->name = name;
  tem->weight = 1;
  g_hash_table_insert (table->teams, tem->name.s, tem);
  return tem;
}

void
tem_table_init (struct tem_table *table)
{
  table->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  tem_add (table, (struct str_id){ "" });
}

void
tem_table_clear (struct tem_table *table)
{
  g_hash_table_destroy (table->teams);
}

/* Takes over the teams of CFG and marks the others gone; the caller frees
   those once nothing refers to them.  */
void
tem_table_set (struct tem_table *table, const struct cluster_config *cfg)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct tem *)value)->gone = ((struct tem *)value)->name.s[0] != '\0';
  for (guint i = 0; i < cfg->n_teams; i++)
    {
      const struct cluster_team *team = &cfg->teams[i];
      struct tem *tem = g_hash_table_lookup (table->teams, team->name.s);
      if (!tem)
        tem = tem_add (table, team->name);
      tem->weight = team->weight;
      tem->max_running = team->max_running;
      tem->gone = FALSE;
    }
}

/* Returns team NAME, or the one that stands for all unknown teams.  */
struct tem *
tem_find (const struct tem_table *table, const char *name)
{
  struct tem *tem = g_hash_table_lookup (table->teams, name);
  return tem ? tem : g_hash_table_lookup (table->teams, "");
}

/* Tells whether TEM may not start more work now.  */
gboolean
tem_at_limit (const struct tem *tem)
{
  return tem->max_running > 0 && tem->n_running >= tem->max_running;
}
