/* Cells that this instance serves as an owner, and the summaries by which
   entries choose between cells. An offer for any cell of the own failure
   domain is served: two owners at once can only over-commit servers for a
   while, and a refused offer would have to wait for the views to agree.  */
#include "node/nod_int.h"

#include <string.h>

static void
send_from_cell (void *ctx, const char *to, const struct msg *msg)
{
  nod_send (ctx, to, msg);
}

static gboolean
is_own_domain (const struct nod *nod, guint domain)
{
  return strcmp (nod->cfg->domains[domain].name.s, nod->domain.s) == 0;
}

static gboolean
is_leaving (const struct nod *nod, const char *server)
{
  return g_hash_table_contains (nod->leaving_servers, server)
         || g_hash_table_contains (nod->listed_leaving, server);
}

/* Tells CEL which of its servers are leaving.  */
static void
tell_leaving (const struct nod *nod, struct shard_owner *shard_owner)
{
  for (guint i = 0; i < nod->cfg->n_backends; i++)
    {
      const char *name = nod->cfg->backends[i].name.s;
      shard_set_leaving (shard_owner, name, is_leaving (nod, name));
    }
}

/* Brings the platform's list of leaving servers to the cells.  */
void
nod_cell_leaving_changed (struct nod *nod)
{
  GHashTableIter iter;
  gpointer shard_owner;
  g_hash_table_iter_init (&iter, nod->cells);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    tell_leaving (nod, shard_owner);
}

/* Returns the cell NAME, made if it was not served here yet; NULL if NAME is
   no cell of this failure domain.  */
struct shard_owner *
nod_cell_get (struct nod *nod, struct str name)
{
  int i = nod->cfg ? cfg_find_cell (nod->cfg, name) : -1;
  if (i < 0 || !is_own_domain (nod, nod->cfg->cells[i].domain))
    return NULL;
  const struct str_id *id = &nod->cfg->cells[i].name;
  struct shard_owner *shard_owner = g_hash_table_lookup (nod->cells, id->s);
  if (shard_owner != NULL)
    return shard_owner;
  const struct shard_options options = {
    .clk = nod->clk,
    .seed = g_rand_int (nod->rand),
    .ctr = nod->ctr,
    .cfg = nod->cfg,
    .cell = *id,
    .send = send_from_cell,
    .ctx = nod,
  };
  shard_owner = shard_new (&options);
  tell_leaving (nod, shard_owner);
  g_hash_table_insert (nod->cells, g_strdup (id->s), shard_owner);
  return shard_owner;
}

static void
refuse_offer (struct nod *nod, const char *from, guint64 ticket,
              enum msg_reason reason)
{
  struct msg msg = { .kind = MSG_REFUSE };
  msg.refuse.ticket = ticket;
  msg.refuse.reason = reason;
  ctr_add (nod->ctr, CTR_REFUSALS, 1);
  nod_send (nod, from, &msg);
}

static void
take_offer (struct nod *nod, const char *from, const struct msg_offer *offer)
{
  if (nod->cfg == NULL || nod_is_held (nod))
    {
      refuse_offer (nod, from, offer->ticket,
                    nod->cfg ? MSG_REASON_NOT_OWNER : MSG_REASON_NO_CONFIG);
      return;
    }
  struct shard_owner *shard_owner = nod_cell_get (nod, str_of (offer->cell.s));
  if (shard_owner == NULL)
    refuse_offer (nod, from, offer->ticket, MSG_REASON_NOT_OWNER);
  else
    shard_enqueue (shard_owner, from, offer);
}

/* Hands a message of an entry to the cells served here. Only an offer names
   its cell; the others are known by their ticket.  */
void
nod_cell_message (struct nod *nod, const char *from, const struct msg *msg)
{
  GHashTableIter iter;
  gpointer shard_owner;
  if (msg->kind == MSG_OFFER)
    {
      take_offer (nod, from, &msg->offer);
      return;
    }
  g_hash_table_iter_init (&iter, nod->cells);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    switch (msg->kind)
      {
      case MSG_WITHDRAW:
        shard_withdraw (shard_owner, from, msg->withdraw.ticket);
        break;
      case MSG_PROGRESS:
        /* Unheard, it leaves the grants of a paused owner old. */
        if (!nod_is_held (nod))
          shard_progress (shard_owner, from, &msg->progress);
        break;
      case MSG_RELEASE:
        shard_release (shard_owner, from, &msg->release);
        break;
      default:
        break;
      }
}

/* Instance ID went or was restarted: its tickets are void.  */
void
nod_cell_entry_lost (struct nod *nod, const char *id)
{
  GHashTableIter iter;
  gpointer shard_owner;
  g_hash_table_iter_init (&iter, nod->cells);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    shard_ingress_lost (shard_owner, id);
}

/* Brings the configuration in force to the cells served here; those that it
   no longer has are dropped, and their entries route anew.  */
void
nod_cell_config (struct nod *nod)
{
  GHashTableIter iter;
  gpointer name, shard_owner;
  g_hash_table_iter_init (&iter, nod->cells);
  while (g_hash_table_iter_next (&iter, &name, &shard_owner))
    if (cfg_find_cell (nod->cfg, str_of (name)) >= 0)
      {
        shard_set_config (shard_owner, nod->cfg);
        tell_leaving (nod, shard_owner);
      }
    else
      g_hash_table_iter_remove (&iter);
}

/* Notes a server's load report and its own word on leaving.  */
void
nod_cell_load (struct nod *nod, const char *backend,
               const struct shard_load *load, gboolean leaving)
{
  GHashTableIter iter;
  gpointer shard_owner;
  gboolean was = g_hash_table_contains (nod->leaving_servers, backend);
  if (leaving && !was)
    g_hash_table_add (nod->leaving_servers, g_strdup (backend));
  else if (!leaving && was)
    g_hash_table_remove (nod->leaving_servers, backend);
  g_hash_table_iter_init (&iter, nod->cells);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    {
      if (leaving != was)
        shard_set_leaving (shard_owner, backend, is_leaving (nod, backend));
      shard_load_report (shard_owner, backend, load);
    }
}

/* Notes that BACKEND's cache holds, or no longer holds, PREFIX.  */
void
nod_cell_cache (struct nod *nod, const char *backend, guint64 prefix,
                gboolean held)
{
  GHashTableIter iter;
  gpointer shard_owner;
  g_hash_table_iter_init (&iter, nod->cells);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    shard_cache_event (shard_owner, backend, prefix, held);
}

static gboolean
is_owner (struct nod *nod, const char *cell, const char *id)
{
  const char *owner = nod_owner (nod, str_of (cell));
  return owner != NULL && strcmp (owner, id) == 0;
}

static gboolean
owns (struct nod *nod, const char *cell)
{
  return is_owner (nod, cell, nod->self.s);
}

/* Runs the cells' timers; a cell without tickets that is another's goes.  */
void
nod_cell_tick (struct nod *nod)
{
  GHashTableIter iter;
  gpointer name, shard_owner;
  g_hash_table_iter_init (&iter, nod->cells);
  while (g_hash_table_iter_next (&iter, &name, &shard_owner))
    {
      shard_tick (shard_owner);
      if (shard_is_idle (shard_owner) && !owns (nod, name))
        g_hash_table_iter_remove (&iter);
    }
}

/* Tells whether no ticket is left in any cell served here.  */
gboolean
nod_cell_idle (const struct nod *nod)
{
  GHashTableIter iter;
  gpointer shard_owner;
  g_hash_table_iter_init (&iter, nod->cells);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    if (!shard_is_idle (shard_owner))
      return FALSE;
  return TRUE;
}

static GArray *
own_summaries (struct nod *nod)
{
  GArray *cells = g_array_new (FALSE, TRUE, sizeof (struct msg_cell_summary));
  for (guint i = 0; i < nod->cfg->n_cells; i++)
    {
      const struct cfg_cell *cell = &nod->cfg->cells[i];
      if (!is_own_domain (nod, cell->domain) || !owns (nod, cell->name.s))
        continue;
      struct msg_cell_summary summary;
      shard_summary (nod_cell_get (nod, str_of (cell->name.s)), &summary);
      summary.owner = nod->self;
      member_self_address (nod->membership, summary.owner_address);
      g_array_append_val (cells, summary);
    }
  return cells;
}

/* Adds the summaries heard from other owners of this failure domain. Those of
   earlier owners would hide the one of now.  */
static void
add_heard (struct nod *nod, GArray *cells)
{
  GHashTableIter iter;
  gpointer value;
  gint64 now = clk_now (nod->clk);
  g_hash_table_iter_init (&iter, nod->infos);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct nod_cell_info *info = value;
      if (strcmp (info->domain.s, nod->domain.s) == 0
          && now - info->heard <= NOD_SUMMARY_FRESH_US
          && !owns (nod, info->summary.cell.s)
          && is_owner (nod, info->summary.cell.s, info->summary.owner.s))
        g_array_append_val (cells, info->summary);
    }
}

static void
send_cells (struct nod *nod, const char *to, GArray *cells)
{
  struct msg msg = { .kind = MSG_SUMMARY };
  msg.summary.domain = nod->domain;
  msg.summary.cells = (struct msg_cell_summary *)cells->data;
  msg.summary.n_cells = cells->len;
  nod_send (nod, to, &msg);
}

struct summary_round
{
  struct nod *nod;
  GArray *own;          /* cells owned here */
  GArray *all;          /* all known cells of the domain */
  GHashTable *contacts; /* other domain -> GPtrArray of its struct
                           member_instance, in the order of ids */
};

/* Tells whether this instance speaks for its failure domain to DOMAIN. The
   task is spread: another instance may speak to another domain.  */
static gboolean
speaks_to (const struct nod *nod, const char *domain)
{
  char *name = g_strdup_printf ("summary/%s", domain);
  const struct member_instance *speaker
      = member_owner (nod->membership, str_of (name), 0);
  g_free (name);
  return speaker == NULL || strcmp (speaker->id.s, nod->self.s) == 0;
}

/* Notes a live instance of another failure domain.  */
static void
note_contact (struct summary_round *round,
              const struct member_instance *instance)
{
  const char *domain = instance->domain.s;
  GPtrArray *list = g_hash_table_lookup (round->contacts, domain);
  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (round->contacts, (gpointer)domain, list);
    }
  g_ptr_array_add (list, (gpointer)instance);
}

static void
send_round (void *ctx, const struct member_instance *instance)
{
  struct summary_round *round = ctx;
  struct nod *nod = round->nod;
  if (!instance->live || strcmp (instance->id.s, nod->self.s) == 0)
    return;
  if (strcmp (instance->domain.s, nod->domain.s) != 0)
    note_contact (round, instance);
  else if (round->own->len > 0)
    send_cells (nod, instance->id.s, round->own);
}

/* Sends all cells to an instance of each other domain that this one speaks
   to. The domains take different instances there, by their place in the
   configuration, so that none relays for all of them.  */
static void
send_to_contacts (struct summary_round *round)
{
  struct nod *nod = round->nod;
  int place = cfg_find_domain (nod->cfg, str_of (nod->domain.s));
  GHashTableIter iter;
  gpointer domain, list;
  g_hash_table_iter_init (&iter, round->contacts);
  while (g_hash_table_iter_next (&iter, &domain, &list))
    {
      const GPtrArray *contacts = list;
      const struct member_instance *contact
          = contacts->pdata[(guint)MAX (place, 0) % contacts->len];
      if (speaks_to (nod, domain))
        send_cells (nod, contact->id.s, round->all);
    }
}

/* Sends the cells owned here to the own failure domain and, to each other
   domain that this instance speaks to, all cells of this one.  */
void
nod_cell_send_summaries (struct nod *nod)
{
  if (nod->cfg == NULL || nod->leaving)
    return;
  struct summary_round round = { .nod = nod };
  round.own = own_summaries (nod);
  round.all = g_array_copy (round.own);
  add_heard (nod, round.all);
  round.contacts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          (GDestroyNotify)g_ptr_array_unref);
  member_each (nod->membership, send_round, &round);
  if (round.all->len > 0)
    send_to_contacts (&round);
  g_hash_table_unref (round.contacts);
  g_array_unref (round.all);
  g_array_unref (round.own);
}

struct relay
{
  struct nod *nod;
  const struct msg *msg;
};

static void
relay_to (void *ctx, const struct member_instance *instance)
{
  const struct relay *relay = ctx;
  if (instance->live && strcmp (instance->domain.s, relay->nod->domain.s) == 0
      && strcmp (instance->id.s, relay->nod->self.s) != 0)
    nod_send (relay->nod, instance->id.s, relay->msg);
}

/* Returns whether the cell has another owner than was known.  */
static gboolean
note_cell (struct nod *nod, const struct msg_summary *summary,
           const struct msg_cell_summary *cell)
{
  struct nod_cell_info *info = g_hash_table_lookup (nod->infos, cell->cell.s);
  if (info == NULL)
    {
      if (g_hash_table_size (nod->infos) >= CFG_BACKENDS_MAX)
        return FALSE;
      info = g_new0 (struct nod_cell_info, 1);
      g_hash_table_insert (nod->infos, g_strdup (cell->cell.s), info);
    }
  gboolean moved = strcmp (info->summary.owner.s, cell->owner.s) != 0;
  info->summary = *cell;
  info->domain = summary->domain;
  info->heard = clk_now (nod->clk);
  info->claimed = 0;
  return moved;
}

/* Takes a summary. One that came from another failure domain itself is
   passed on to the own one, and the owners named in it are dialled; tickets
   with an earlier owner are offered to the one of now.  */
void
nod_cell_take_summary (struct nod *nod, const char *from,
                       const struct msg_summary *summary)
{
  gboolean foreign = strcmp (summary->domain.s, nod->domain.s) != 0;
  const struct member_instance *sender = member_find (nod->membership, from);
  gboolean moved = FALSE;
  for (guint i = 0; i < summary->n_cells; i++)
    {
      moved |= note_cell (nod, summary, &summary->cells[i]);
      if (foreign)
        nod_dial (nod, summary->cells[i].owner_address);
    }
  if (foreign && moved)
    nod_ticket_view_changed (nod, NULL);
  if (foreign && sender != NULL
      && strcmp (sender->domain.s, summary->domain.s) == 0)
    {
      const struct msg msg = { .kind = MSG_SUMMARY, .summary = *summary };
      const struct relay relay = { nod, &msg };
      member_each (nod->membership, relay_to, (void *)&relay);
    }
}

/* Adds the cells served here to JSON as an array.  */
void
nod_cell_dump (const struct nod *nod, JsonBuilder *json)
{
  GHashTableIter iter;
  gpointer shard_owner;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, nod->cells);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    shard_dump (shard_owner, json);
  json_builder_end_array (json);
}
