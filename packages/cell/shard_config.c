#include "cell/shard_internal.h"

#include <string.h>

/* Returns class NAME, or NULL.  */
struct class_queue *
shard_find_class (const struct shard_owner *shard, const char *name)
{
  for (guint i = 0; i < shard->classes->len; i++)
    {
      struct class_queue *class = shard->classes->pdata[i];
      if (strcmp (class->cfg.name.s, name) == 0)
        return class;
    }
  return NULL;
}

/* Returns server NAME, or NULL. A server that was removed from the
   configuration is found as long as it has requests in flight.  */
struct shard_server *
shard_find_server (const struct shard_owner *shard, const char *name)
{
  for (guint i = 0; i < shard->servers->len; i++)
    {
      struct shard_server *server = shard->servers->pdata[i];
      if (strcmp (server->cfg.name.s, name) == 0)
        return server;
    }
  return NULL;
}

static gint
by_tier (gconstpointer a, gconstpointer b)
{
  const struct class_queue *x = *(struct class_queue *const *)a;
  const struct class_queue *y = *(struct class_queue *const *)b;
  if (x->cfg.tier != y->cfg.tier)
    return x->cfg.tier < y->cfg.tier ? -1 : 1;
  return strcmp (x->cfg.name.s, y->cfg.name.s);
}

static void
remove_class (struct shard_owner *shard, struct class_queue *class)
{
  struct queued_request *request;
  while ((request = class_oldest (class)))
    shard_reject (shard, request, MSG_REASON_NO_SERVER);
  for (GList *l = shard->requests.by_last_heard.head; l; l = l->next)
    {
      request = l->data;
      if (request->class != class)
        continue;
      request->class = NULL;
      request->flow = NULL;
    }
  g_ptr_array_remove (shard->classes, class);
  class_free (class);
}

static void
update_classes (struct shard_owner *shard, const struct cluster_config *cfg)
{
  for (guint i = shard->classes->len; i-- > 0;)
    {
      struct class_queue *class = shard->classes->pdata[i];
      gboolean kept = FALSE;
      for (guint j = 0; j < cfg->n_classes && !kept; j++)
        kept = strcmp (class->cfg.name.s, cfg->classes[j].name.s) == 0;
      if (!kept)
        remove_class (shard, class);
    }
  for (guint j = 0; j < cfg->n_classes; j++)
    {
      struct class_queue *class = shard_find_class (shard,
                                                    cfg->classes[j].name.s);
      if (!class)
        g_ptr_array_add (shard->classes, class = class_new (&cfg->classes[j]));
      if (class->cfg.tier != cfg->classes[j].tier)
        class->tier_flow.tag = shard->tier_queues[cfg->classes[j].tier].vtime;
      class_set_config (class, &cfg->classes[j]);
    }
  g_ptr_array_sort (shard->classes, by_tier);
}

/* Frees teams that were removed from the configuration and have no
   requests.  */
static void
free_idle_teams (struct shard_owner *shard)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, shard->teams.teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct team_state *team = value;
      if (!team->removed || team->n_requests > 0)
        continue;
      for (guint i = 0; i < shard->classes->len; i++)
        class_remove_team (shard->classes->pdata[i], team);
      g_hash_table_iter_remove (&iter);
    }
}

static gboolean
in_shard (const struct shard_owner *shard, const struct cluster_config *cfg,
          guint backend)
{
  guint shard_index = cfg->backends[backend].shard;
  return shard_index < cfg->n_shards
         && strcmp (cfg->shards[shard_index].name.s, shard->name.s) == 0;
}

/* Frees servers that were removed from the configuration and have no requests
   in flight.  */
void
shard_free_removed_servers (struct shard_owner *shard)
{
  for (guint i = shard->servers->len; i-- > 0;)
    {
      struct shard_server *server = shard->servers->pdata[i];
      if (!server->removed || server->in_flight.length > 0)
        continue;
      affinity_remove_slot (shard->affinity, server->affinity_index);
      g_ptr_array_remove_index (shard->servers, i);
      server_free (server);
    }
}

static gboolean
is_engine (const struct cluster_config *cfg,
           const struct cluster_backend *backend)
{
  return backend->pool < cfg->n_pools
         && cfg->pools[backend->pool].kind == CLUSTER_ENGINE;
}

/* Returns the lowest index that no server uses in the affinity table, or
   SHARD_SERVERS_MAX if all are in use.  */
static guint
free_affinity_index (const struct shard_owner *shard)
{
  guint64 used = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    used |= G_GUINT64_CONSTANT (1)
            << ((const struct shard_server *)shard->servers->pdata[i])
                   ->affinity_index;
  guint index = 0;
  while (index < SHARD_SERVERS_MAX && (used >> index & 1))
    index++;
  return index;
}

static void
update_server (struct shard_owner *shard, const struct cluster_config *cfg,
               const struct cluster_backend *backend)
{
  struct shard_server *server = shard_find_server (shard, backend->name.s);
  guint index = free_affinity_index (shard);
  if (!server && index < SHARD_SERVERS_MAX)
    {
      server = server_new (backend, is_engine (cfg, backend),
                           clk_now (shard->clk));
      server->affinity_index = index;
      g_ptr_array_add (shard->servers, server);
    }
  if (!server)
    return;
  server->cfg = *backend;
  server->limit_scale = cfg->limit_scale;
  server->removed = FALSE;
}

static void
update_servers (struct shard_owner *shard, const struct cluster_config *cfg)
{
  for (guint i = 0; i < shard->servers->len; i++)
    ((struct shard_server *)shard->servers->pdata[i])->removed = TRUE;
  for (guint i = 0; i < cfg->n_backends; i++)
    if (in_shard (shard, cfg, i))
      update_server (shard, cfg, &cfg->backends[i]);
  shard_free_removed_servers (shard);
}

/* Switches to configuration CFG, taking a reference. Servers that it no longer
   has get no new requests; their running ones stay counted until they end.
   Waiting requests of a class that it no longer has are rejected with
   NO_SERVER; running ones continue.  */
void
shard_set_config (struct shard_owner *shard, struct cluster_config *cfg)
{
  struct cluster_config *old = shard->cfg;
  shard->cfg = cluster_ref (cfg);
  if (old)
    cluster_unref (old);
  team_table_set (&shard->teams, cfg);
  update_classes (shard, cfg);
  free_idle_teams (shard);
  update_servers (shard, cfg);
  shard_reject_if_unserved (shard);
  shard_dispatch (shard);
}
