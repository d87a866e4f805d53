#include "cell/shard_internal.h"

#include <string.h>

/* Returns class NAME, or NULL.  */
struct class_queue *
shard_find_class (const struct shard_owner *shard_owner, const char *name)
{
  for (guint i = 0; i < shard_owner->classes->len; i++)
    {
      struct class_queue *class_queue = shard_owner->classes->pdata[i];
      if (strcmp (class_queue->cfg.name.s, name) == 0)
        return class_queue;
    }
  return NULL;
}

/* Returns server NAME, or NULL; one that left the configuration counts while
   it has work in flight.  */
struct shard_server *
shard_find_server (const struct shard_owner *shard_owner, const char *name)
{
  for (guint i = 0; i < shard_owner->servers->len; i++)
    {
      struct shard_server *shard_server = shard_owner->servers->pdata[i];
      if (strcmp (shard_server->cfg.name.s, name) == 0)
        return shard_server;
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
class_gone (struct shard_owner *shard_owner, struct class_queue *class_queue)
{
  struct queued_request *queued_request;
  while ((queued_request = class_oldest (class_queue)))
    shard_reject (shard_owner, queued_request, MSG_REASON_NO_SERVER);
  for (GList *l = shard_owner->tickets.by_heard.head; l; l = l->next)
    {
      queued_request = l->data;
      if (queued_request->class_queue != class_queue)
        continue;
      queued_request->class_queue = NULL;
      queued_request->team_flow = NULL;
    }
  g_ptr_array_remove (shard_owner->classes, class_queue);
  class_free (class_queue);
}

static void
take_classes (struct shard_owner *shard_owner, const struct cfg *cfg)
{
  for (guint i = shard_owner->classes->len; i-- > 0;)
    {
      struct class_queue *class_queue = shard_owner->classes->pdata[i];
      gboolean kept = FALSE;
      for (guint j = 0; j < cfg->n_classes && !kept; j++)
        kept = strcmp (class_queue->cfg.name.s, cfg->classes[j].name.s) == 0;
      if (!kept)
        class_gone (shard_owner, class_queue);
    }
  for (guint j = 0; j < cfg->n_classes; j++)
    {
      struct class_queue *class_queue
          = shard_find_class (shard_owner, cfg->classes[j].name.s);
      if (!class_queue)
        g_ptr_array_add (shard_owner->classes,
                         class_queue = class_new (&cfg->classes[j]));
      if (class_queue->cfg.tier != cfg->classes[j].tier)
        class_queue->own.tag = shard_owner->tiers[cfg->classes[j].tier].vtime;
      class_set_config (class_queue, &cfg->classes[j]);
    }
  g_ptr_array_sort (shard_owner->classes, by_tier);
}

/* Frees teams that left the configuration and have no tickets.  */
static void
free_idle_teams (struct shard_owner *shard_owner)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, shard_owner->teams.teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct team_state *team = value;
      if (!team->gone || team->n_tickets > 0)
        continue;
      for (guint i = 0; i < shard_owner->classes->len; i++)
        class_remove_team (shard_owner->classes->pdata[i], team);
      g_hash_table_iter_remove (&iter);
    }
}

static gboolean
in_cell (const struct shard_owner *shard_owner, const struct cfg *cfg,
         guint backend)
{
  guint cell = cfg->backends[backend].cell;
  return cell < cfg->n_cells
         && strcmp (cfg->cells[cell].name.s, shard_owner->cell.s) == 0;
}

/* Frees servers that left the configuration and have no work in flight.  */
void
shard_free_removed_servers (struct shard_owner *shard_owner)
{
  for (guint i = shard_owner->servers->len; i-- > 0;)
    {
      struct shard_server *shard_server = shard_owner->servers->pdata[i];
      if (!shard_server->gone || shard_server->in_flight.length > 0)
        continue;
      aff_drop_slot (shard_owner->aff, shard_server->slot);
      g_ptr_array_remove_index (shard_owner->servers, i);
      server_free (shard_server);
    }
}

static gboolean
is_engine (const struct cfg *cfg, const struct cfg_backend *backend)
{
  return backend->pool < cfg->n_pools
         && cfg->pools[backend->pool].kind == CFG_ENGINE;
}

/* Returns the lowest slot that no server has; SHARD_SERVERS_MAX if none is.  */
static guint
free_slot (const struct shard_owner *shard_owner)
{
  guint64 used = 0;
  for (guint i = 0; i < shard_owner->servers->len; i++)
    used |= G_GUINT64_CONSTANT (1)
            << ((const struct shard_server *)shard_owner->servers->pdata[i])
                   ->slot;
  guint slot = 0;
  while (slot < SHARD_SERVERS_MAX && (used >> slot & 1))
    slot++;
  return slot;
}

static void
take_server (struct shard_owner *shard_owner, const struct cfg *cfg,
             const struct cfg_backend *backend)
{
  struct shard_server *shard_server
      = shard_find_server (shard_owner, backend->name.s);
  guint slot = free_slot (shard_owner);
  if (!shard_server && slot < SHARD_SERVERS_MAX)
    {
      shard_server = server_new (backend, is_engine (cfg, backend),
                                 clk_now (shard_owner->clk));
      shard_server->slot = slot;
      g_ptr_array_add (shard_owner->servers, shard_server);
    }
  if (!shard_server)
    return;
  shard_server->cfg = *backend;
  shard_server->scale = cfg->limit_scale;
  shard_server->gone = FALSE;
}

static void
take_servers (struct shard_owner *shard_owner, const struct cfg *cfg)
{
  for (guint i = 0; i < shard_owner->servers->len; i++)
    ((struct shard_server *)shard_owner->servers->pdata[i])->gone = TRUE;
  for (guint i = 0; i < cfg->n_backends; i++)
    if (in_cell (shard_owner, cfg, i))
      take_server (shard_owner, cfg, &cfg->backends[i]);
  shard_free_removed_servers (shard_owner);
}

/* Takes over configuration CFG. Servers that left it take no new work and
   count their running work to its end. Waiting tickets of a class that left
   it are refused with NO_SERVER; its running work goes on.  */
void
shard_set_config (struct shard_owner *shard_owner, struct cfg *cfg)
{
  struct cfg *old = shard_owner->cfg;
  shard_owner->cfg = cfg_ref (cfg);
  if (old)
    cfg_unref (old);
  team_table_set (&shard_owner->teams, cfg);
  take_classes (shard_owner, cfg);
  free_idle_teams (shard_owner);
  take_servers (shard_owner, cfg);
  shard_reject_if_unserved (shard_owner);
  shard_dispatch (shard_owner);
}
