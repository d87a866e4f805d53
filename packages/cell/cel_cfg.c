#include "cell/cel_int.h"

#include <string.h>

/* Returns class NAME, or NULL.  */
struct cls *
cel_find_class (const struct cel *cel, const char *name)
{
  for (guint i = 0; i < cel->classes->len; i++)
    {
      struct cls *cls = cel->classes->pdata[i];
      if (strcmp (cls->cfg.name.s, name) == 0)
        return cls;
    }
  return NULL;
}

/* Returns server NAME, or NULL; one that left the configuration counts while
   it has work in flight.  */
struct srv *
cel_find_server (const struct cel *cel, const char *name)
{
  for (guint i = 0; i < cel->servers->len; i++)
    {
      struct srv *srv = cel->servers->pdata[i];
      if (strcmp (srv->cfg.name.s, name) == 0)
        return srv;
    }
  return NULL;
}

static gint
by_tier (gconstpointer a, gconstpointer b)
{
  const struct cls *x = *(struct cls *const *)a;
  const struct cls *y = *(struct cls *const *)b;
  if (x->cfg.tier != y->cfg.tier)
    return x->cfg.tier < y->cfg.tier ? -1 : 1;
  return strcmp (x->cfg.name.s, y->cfg.name.s);
}

static void
class_gone (struct cel *cel, struct cls *cls)
{
  struct tkt *tkt;
  while ((tkt = cls_oldest (cls)))
    cel_refuse (cel, tkt, MSG_REASON_NO_SERVER);
  for (GList *l = cel->tickets.by_heard.head; l; l = l->next)
    {
      tkt = l->data;
      if (tkt->cls != cls)
        continue;
      tkt->cls = NULL;
      tkt->flw = NULL;
    }
  g_ptr_array_remove (cel->classes, cls);
  cls_free (cls);
}

static void
take_classes (struct cel *cel, const struct cluster_config *cfg)
{
  for (guint i = cel->classes->len; i-- > 0;)
    {
      struct cls *cls = cel->classes->pdata[i];
      gboolean kept = FALSE;
      for (guint j = 0; j < cfg->n_classes && !kept; j++)
        kept = strcmp (cls->cfg.name.s, cfg->classes[j].name.s) == 0;
      if (!kept)
        class_gone (cel, cls);
    }
  for (guint j = 0; j < cfg->n_classes; j++)
    {
      struct cls *cls = cel_find_class (cel, cfg->classes[j].name.s);
      if (!cls)
        g_ptr_array_add (cel->classes, cls = cls_new (&cfg->classes[j]));
      if (cls->cfg.tier != cfg->classes[j].tier)
        cls->own.tag = cel->tiers[cfg->classes[j].tier].vtime;
      cls_set_config (cls, &cfg->classes[j]);
    }
  g_ptr_array_sort (cel->classes, by_tier);
}

/* Frees teams that left the configuration and have no tickets.  */
static void
free_idle_teams (struct cel *cel)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cel->teams.teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct tem *team = value;
      if (!team->gone || team->n_tickets > 0)
        continue;
      for (guint i = 0; i < cel->classes->len; i++)
        cls_forget_team (cel->classes->pdata[i], team);
      g_hash_table_iter_remove (&iter);
    }
}

static gboolean
in_cell (const struct cel *cel, const struct cluster_config *cfg, guint backend)
{
  guint cell = cfg->backends[backend].shard;
  return cell < cfg->n_shards
         && strcmp (cfg->shards[cell].name.s, cel->cell.s) == 0;
}

/* Frees servers that left the configuration and have no work in flight.  */
void
cel_free_idle_gone (struct cel *cel)
{
  for (guint i = cel->servers->len; i-- > 0;)
    {
      struct srv *srv = cel->servers->pdata[i];
      if (!srv->gone || srv->in_flight.length > 0)
        continue;
      prefix_affinity_remove_slot (cel->prefix_affinity, srv->slot);
      g_ptr_array_remove_index (cel->servers, i);
      srv_free (srv);
    }
}

static gboolean
is_engine (const struct cluster_config *cfg,
           const struct cluster_backend *backend)
{
  return backend->pool < cfg->n_pools
         && cfg->pools[backend->pool].kind == CLUSTER_ENGINE;
}

/* Returns the lowest slot that no server has; CEL_SERVERS_MAX if none is.  */
static guint
free_slot (const struct cel *cel)
{
  guint64 used = 0;
  for (guint i = 0; i < cel->servers->len; i++)
    used |= G_GUINT64_CONSTANT (1)
            << ((const struct srv *)cel->servers->pdata[i])->slot;
  guint slot = 0;
  while (slot < CEL_SERVERS_MAX && (used >> slot & 1))
    slot++;
  return slot;
}

static void
take_server (struct cel *cel, const struct cluster_config *cfg,
             const struct cluster_backend *backend)
{
  struct srv *srv = cel_find_server (cel, backend->name.s);
  guint slot = free_slot (cel);
  if (!srv && slot < CEL_SERVERS_MAX)
    {
      srv = srv_new (backend, is_engine (cfg, backend), clk_now (cel->clk));
      srv->slot = slot;
      g_ptr_array_add (cel->servers, srv);
    }
  if (!srv)
    return;
  srv->cfg = *backend;
  srv->scale = cfg->limit_scale;
  srv->gone = FALSE;
}

static void
take_servers (struct cel *cel, const struct cluster_config *cfg)
{
  for (guint i = 0; i < cel->servers->len; i++)
    ((struct srv *)cel->servers->pdata[i])->gone = TRUE;
  for (guint i = 0; i < cfg->n_backends; i++)
    if (in_cell (cel, cfg, i))
      take_server (cel, cfg, &cfg->backends[i]);
  cel_free_idle_gone (cel);
}

/* Takes over configuration CFG. Servers that left it take no new work and
   count their running work to its end. Waiting tickets of a class that left
   it are refused with NO_SERVER; its running work goes on.  */
void
cel_set_config (struct cel *cel, struct cluster_config *cfg)
{
  struct cluster_config *old = cel->cfg;
  cel->cfg = cluster_ref (cfg);
  if (old)
    cluster_unref (old);
  tem_table_set (&cel->teams, cfg);
  take_classes (cel, cfg);
  free_idle_teams (cel);
  take_servers (cel, cfg);
  cel_refuse_unless_served (cel);
  cel_pump (cel);
}
