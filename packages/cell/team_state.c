#include "cell/team_state.h"

static struct team_state *
team_add (struct team_table *table, struct str_id name)
{
  struct team_state *state = g_new0 (struct team_state, 1);
  state->name = name;
  state->weight = 1;
  g_hash_table_insert (table->teams, state->name.s, state);
  return state;
}

void
team_table_init (struct team_table *table)
{
  table->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  team_add (table, (struct str_id){ "" });
}

void
team_table_clear (struct team_table *table)
{
  g_hash_table_destroy (table->teams);
}

/* Updates the teams to those of CFG and marks the others as removed. The caller
   frees these once nothing refers to them.  */
void
team_table_set (struct team_table *table, const struct cluster_config *cfg)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct team_state *)value)->removed
        = ((struct team_state *)value)->name.s[0] != '\0';
  for (guint i = 0; i < cfg->n_teams; i++)
    {
      const struct cluster_team *team = &cfg->teams[i];
      struct team_state *state
          = g_hash_table_lookup (table->teams, team->name.s);
      if (!state)
        state = team_add (table, team->name);
      state->weight = team->weight;
      state->max_running = team->max_running;
      state->removed = FALSE;
    }
}

/* Returns team NAME, or the one that stands for all unknown teams.  */
struct team_state *
team_find (const struct team_table *table, const char *name)
{
  struct team_state *state = g_hash_table_lookup (table->teams, name);
  return state ? state : g_hash_table_lookup (table->teams, "");
}

/* Returns whether TEAM may not start more requests now.  */
gboolean
team_is_at_limit (const struct team_state *team)
{
  return team->max_running > 0 && team->n_running >= team->max_running;
}
