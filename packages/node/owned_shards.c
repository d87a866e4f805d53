/* Scheduling shards that this instance serves, and the summaries by which
   instances choose a shard for a request.

   Requests for any shard of this failure domain are accepted, also if another
   instance seems to be the owner: two owners at once can only over-commit
   servers for a while, and a rejected request would have to wait until the
   views of the instances agree.  */
#include "node/core_internal.h"

#include <string.h>

static void
send_from_shard (void *ctx, const char *to, const struct msg *msg)
{
  core_send (ctx, to, msg);
}

static gboolean
is_own_domain (const struct core *core, guint domain)
{
  return strcmp (core->cfg->domains[domain].name.s, core->domain.s) == 0;
}

static gboolean
is_leaving (const struct core *core, const char *server)
{
  return g_hash_table_contains (core->leaving_servers, server)
         || g_hash_table_contains (core->listed_leaving, server);
}

/* Updates in SHARD_OWNER which of its servers are leaving.  */
static void
update_leaving (const struct core *core, struct shard_owner *shard_owner)
{
  for (guint i = 0; i < core->cfg->n_backends; i++)
    {
      const char *name = core->cfg->backends[i].name.s;
      shard_set_leaving (shard_owner, name, is_leaving (core, name));
    }
}

/* Applies a change of the registry's leaving servers to all shards.  */
void
core_shards_update_leaving (struct core *core)
{
  GHashTableIter iter;
  gpointer shard_owner;
  g_hash_table_iter_init (&iter, core->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    update_leaving (core, shard_owner);
}

/* Returns the state by which this instance serves shard NAME, created on first
   use, or NULL if NAME is not a shard of this failure domain.  */
struct shard_owner *
core_shard_get (struct core *core, struct str name)
{
  int i = core->cfg ? cluster_find_shard (core->cfg, name) : -1;
  if (i < 0 || !is_own_domain (core, core->cfg->shards[i].domain))
    return NULL;
  const struct str_id *id = &core->cfg->shards[i].name;
  struct shard_owner *shard_owner = g_hash_table_lookup (core->shards, id->s);
  if (shard_owner != NULL)
    return shard_owner;
  const struct shard_options options = {
    .clk = core->clk,
    .seed = g_rand_int (core->rand),
    .counter_set = core->counter_set,
    .cfg = core->cfg,
    .name = *id,
    .send = send_from_shard,
    .ctx = core,
  };
  shard_owner = shard_new (&options);
  update_leaving (core, shard_owner);
  g_hash_table_insert (core->shards, g_strdup (id->s), shard_owner);
  return shard_owner;
}

static void
reject_enqueue (struct core *core, const char *from, guint64 queue_entry,
                enum msg_reason reason)
{
  struct msg msg = { .kind = MSG_REJECT };
  msg.reject.queue_entry = queue_entry;
  msg.reject.reason = reason;
  counter_add (core->counter_set, COUNTER_REJECTIONS, 1);
  core_send (core, from, &msg);
}

static void
handle_enqueue (struct core *core, const char *from,
                const struct msg_enqueue *entry)
{
  if (core->cfg == NULL || core_is_warming_up (core))
    {
      reject_enqueue (core, from, entry->queue_entry,
                      core->cfg ? MSG_REASON_NOT_OWNER : MSG_REASON_NO_CONFIG);
      return;
    }
  struct shard_owner *shard_owner
      = core_shard_get (core, str_of (entry->shard.s));
  if (shard_owner == NULL)
    reject_enqueue (core, from, entry->queue_entry, MSG_REASON_NOT_OWNER);
  else
    shard_enqueue (shard_owner, from, entry);
}

/* Passes a message about a queue entry to the shards served here. Only the
   message that creates an entry names its shard; the others carry just the
   number of the entry and go to all shards.  */
void
core_shards_message (struct core *core, const char *from, const struct msg *msg)
{
  GHashTableIter iter;
  gpointer shard_owner;
  if (msg->kind == MSG_ENQUEUE)
    {
      handle_enqueue (core, from, &msg->enqueue);
      return;
    }
  g_hash_table_iter_init (&iter, core->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    switch (msg->kind)
      {
      case MSG_WITHDRAW:
        shard_withdraw (shard_owner, from, msg->withdraw.queue_entry);
        break;
      case MSG_PROGRESS:
        /* Progress reports renew the time that is returned with grants. They
           are ignored during warm-up, so that an owner that was suspended
           cannot issue grants that look recent. */
        if (!core_is_warming_up (core))
          shard_progress (shard_owner, from, &msg->progress);
        break;
      case MSG_RELEASE:
        shard_release (shard_owner, from, &msg->release);
        break;
      default:
        break;
      }
}

/* Drops the queue entries of instance ID, which is down or was restarted.  */
void
core_shards_ingress_lost (struct core *core, const char *id)
{
  GHashTableIter iter;
  gpointer shard_owner;
  g_hash_table_iter_init (&iter, core->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    shard_ingress_lost (shard_owner, id);
}

/* Applies the configuration in force to the shards served here. Shards that
   it no longer has are dropped; the instances with requests in them choose
   another shard.  */
void
core_shards_set_config (struct core *core)
{
  GHashTableIter iter;
  gpointer name, shard_owner;
  g_hash_table_iter_init (&iter, core->shards);
  while (g_hash_table_iter_next (&iter, &name, &shard_owner))
    if (cluster_find_shard (core->cfg, str_of (name)) >= 0)
      {
        shard_set_config (shard_owner, core->cfg);
        update_leaving (core, shard_owner);
      }
    else
      g_hash_table_iter_remove (&iter);
}

/* Handles a load report of server BACKEND. LEAVING: it reports that it shuts
   down.  */
void
core_shard_load_report (struct core *core, const char *backend,
                        const struct shard_load *load, gboolean leaving)
{
  GHashTableIter iter;
  gpointer shard_owner;
  gboolean was = g_hash_table_contains (core->leaving_servers, backend);
  if (leaving && !was)
    g_hash_table_add (core->leaving_servers, g_strdup (backend));
  else if (!leaving && was)
    g_hash_table_remove (core->leaving_servers, backend);
  g_hash_table_iter_init (&iter, core->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    {
      if (leaving != was)
        shard_set_leaving (shard_owner, backend, is_leaving (core, backend));
      shard_load_report (shard_owner, backend, load);
    }
}

/* Handles a cache event: PREFIX was added to or evicted from BACKEND's prefix
   cache.  */
void
core_shard_cache_event (struct core *core, const char *backend, guint64 prefix,
                        gboolean cached)
{
  GHashTableIter iter;
  gpointer shard_owner;
  g_hash_table_iter_init (&iter, core->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    shard_cache_event (shard_owner, backend, prefix, cached);
}

static gboolean
is_owner (struct core *core, const char *shard, const char *id)
{
  const char *owner = core_shard_owner (core, str_of (shard));
  return owner != NULL && strcmp (owner, id) == 0;
}

static gboolean
owns (struct core *core, const char *shard)
{
  return is_owner (core, shard, core->self.s);
}

/* Runs the timers of the shards and drops shards without queue entries that
   another instance owns.  */
void
core_shards_tick (struct core *core)
{
  GHashTableIter iter;
  gpointer name, shard_owner;
  g_hash_table_iter_init (&iter, core->shards);
  while (g_hash_table_iter_next (&iter, &name, &shard_owner))
    {
      shard_tick (shard_owner);
      if (shard_is_idle (shard_owner) && !owns (core, name))
        g_hash_table_iter_remove (&iter);
    }
}

/* Whether no shard served here has any queue entry.  */
gboolean
core_shards_idle (const struct core *core)
{
  GHashTableIter iter;
  gpointer shard_owner;
  g_hash_table_iter_init (&iter, core->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    if (!shard_is_idle (shard_owner))
      return FALSE;
  return TRUE;
}

static GArray *
summarize_owned (struct core *core)
{
  GArray *summaries
      = g_array_new (FALSE, TRUE, sizeof (struct msg_shard_summary));
  for (guint i = 0; i < core->cfg->n_shards; i++)
    {
      const struct cluster_shard *shard = &core->cfg->shards[i];
      if (!is_own_domain (core, shard->domain) || !owns (core, shard->name.s))
        continue;
      struct msg_shard_summary summary;
      shard_summary (core_shard_get (core, str_of (shard->name.s)), &summary);
      summary.owner = core->self;
      member_self_address (core->membership, summary.owner_address);
      g_array_append_val (summaries, summary);
    }
  return summaries;
}

/* Adds the recent summaries from other owners in this failure domain. Those of
   former owners are left out, as they would replace the summary of the current
   owner at the receiver.  */
static void
add_known_summaries (struct core *core, GArray *summaries)
{
  GHashTableIter iter;
  gpointer value;
  gint64 now = clk_now (core->clk);
  g_hash_table_iter_init (&iter, core->shard_infos);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct core_shard_info *info = value;
      if (strcmp (info->domain.s, core->domain.s) == 0
          && now - info->received_at <= CORE_SUMMARY_MAX_AGE_US
          && !owns (core, info->summary.shard.s)
          && is_owner (core, info->summary.shard.s, info->summary.owner.s))
        g_array_append_val (summaries, info->summary);
    }
}

static void
send_summaries (struct core *core, const char *to, GArray *summaries)
{
  struct msg msg = { .kind = MSG_SUMMARY };
  msg.summary.domain = core->domain;
  msg.summary.shards = (struct msg_shard_summary *)summaries->data;
  msg.summary.n_shards = summaries->len;
  core_send (core, to, &msg);
}

struct summary_round
{
  struct core *core;
  GArray *own;          /* shards owned here */
  GArray *all;          /* all known shards of the domain */
  GHashTable *contacts; /* other domain -> GPtrArray of its struct
                           member_instance, ordered by id */
};

/* Whether this instance sends the summaries of its failure domain to DOMAIN.
   The instance is chosen for each target domain, to spread the work.  */
static gboolean
is_contact_for (const struct core *core, const char *domain)
{
  char *name = g_strdup_printf ("summary/%s", domain);
  const struct member_instance *sender
      = member_owner (core->membership, str_of (name), 0);
  g_free (name);
  return sender == NULL || strcmp (sender->id.s, core->self.s) == 0;
}

/* Adds a live instance of another failure domain to ROUND.  */
static void
add_contact (struct summary_round *round,
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
  struct core *core = round->core;
  if (!instance->live || strcmp (instance->id.s, core->self.s) == 0)
    return;
  if (strcmp (instance->domain.s, core->domain.s) != 0)
    add_contact (round, instance);
  else if (round->own->len > 0)
    send_summaries (core, instance->id.s, round->own);
}

/* Sends all summaries to one instance of each other failure domain that this
   instance is responsible for. The receiver is chosen by the sending domain's
   index in the configuration, so that a single instance does not relay for
   all domains.  */
static void
send_to_contacts (struct summary_round *round)
{
  struct core *core = round->core;
  int domain_index = cluster_find_domain (core->cfg, str_of (core->domain.s));
  GHashTableIter iter;
  gpointer domain, list;
  g_hash_table_iter_init (&iter, round->contacts);
  while (g_hash_table_iter_next (&iter, &domain, &list))
    {
      const GPtrArray *contacts = list;
      const struct member_instance *contact
          = contacts->pdata[(guint)MAX (domain_index, 0) % contacts->len];
      if (is_contact_for (core, domain))
        send_summaries (core, contact->id.s, round->all);
    }
}

/* Sends summaries of the shards owned here to the instances of this failure
   domain, and of all shards of this domain to the other domains that this
   instance is responsible for. One that leaves does so only if it still owns
   shards, as no other instance of the domain is left: otherwise requests of
   other domains would wait for the former owner.  */
void
core_shard_send_summaries (struct core *core)
{
  if (core->cfg == NULL)
    return;
  struct summary_round round = { .core = core };
  round.own = summarize_owned (core);
  if (core->leaving && round.own->len == 0)
    {
      g_array_unref (round.own);
      return;
    }
  round.all = g_array_copy (round.own);
  add_known_summaries (core, round.all);
  round.contacts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          (GDestroyNotify)g_ptr_array_unref);
  member_each (core->membership, send_round, &round);
  if (round.all->len > 0)
    send_to_contacts (&round);
  g_hash_table_unref (round.contacts);
  g_array_unref (round.all);
  g_array_unref (round.own);
}

struct relay
{
  struct core *core;
  const struct msg *msg;
};

static void
relay_to (void *ctx, const struct member_instance *instance)
{
  const struct relay *relay = ctx;
  if (instance->live && strcmp (instance->domain.s, relay->core->domain.s) == 0
      && strcmp (instance->id.s, relay->core->self.s) != 0)
    core_send (relay->core, instance->id.s, relay->msg);
}

/* Stores the summary of a shard. Returns whether its owner has changed.  */
static gboolean
update_shard_info (struct core *core, const struct msg_summary *summary,
                   const struct msg_shard_summary *shard)
{
  struct core_shard_info *info
      = g_hash_table_lookup (core->shard_infos, shard->shard.s);
  if (info == NULL)
    {
      if (g_hash_table_size (core->shard_infos) >= CLUSTER_BACKENDS_MAX)
        return FALSE;
      info = g_new0 (struct core_shard_info, 1);
      g_hash_table_insert (core->shard_infos, g_strdup (shard->shard.s), info);
    }
  gboolean moved = strcmp (info->summary.owner.s, shard->owner.s) != 0;
  info->summary = *shard;
  info->domain = summary->domain;
  info->received_at = clk_now (core->clk);
  info->claimed_slots = 0;
  return moved;
}

/* Handles summaries of failure domain SUMMARY->domain. If it is another one,
   connects to the shard owners named in them and, if owners have changed,
   sends the queue entries of former owners to the current ones. If an instance
   of that domain sent them, relays them to the instances of this domain.  */
void
core_shard_summary_received (struct core *core, const char *from,
                             const struct msg_summary *summary)
{
  gboolean foreign = strcmp (summary->domain.s, core->domain.s) != 0;
  const struct member_instance *sender = member_find (core->membership, from);
  gboolean moved = FALSE;
  for (guint i = 0; i < summary->n_shards; i++)
    {
      moved |= update_shard_info (core, summary, &summary->shards[i]);
      if (foreign)
        core_dial (core, summary->shards[i].owner_address);
    }
  if (foreign && moved)
    core_queue_view_changed (core, NULL);
  if (foreign && sender != NULL
      && strcmp (sender->domain.s, summary->domain.s) == 0)
    {
      const struct msg msg = { .kind = MSG_SUMMARY, .summary = *summary };
      const struct relay relay = { core, &msg };
      member_each (core->membership, relay_to, (void *)&relay);
    }
}

/* Adds the shards served here to JSON as an array.  */
void
core_shards_dump (const struct core *core, JsonBuilder *json)
{
  GHashTableIter iter;
  gpointer shard_owner;
  json_builder_begin_array (json);
  g_hash_table_iter_init (&iter, core->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard_owner))
    shard_dump (shard_owner, json);
  json_builder_end_array (json);
}
