#include "cell/shard.h"

#include "cell/shard_internal.h"

#include <string.h>

/* Returns the owner of a shard without requests. The caller frees it with
   shard_free.  */
struct shard_owner *
shard_new (const struct shard_options *options)
{
  struct shard_owner *shard = g_new0 (struct shard_owner, 1);
  shard->clk = options->clk;
  shard->rand = g_rand_new_with_seed (options->seed);
  shard->counter_set = options->counter_set;
  shard->name = options->name;
  shard->send = options->send;
  shard->ctx = options->ctx;
  shard->classes = g_ptr_array_new ();
  shard->servers = g_ptr_array_new ();
  shard->deadlines = g_sequence_new (NULL);
  queued_table_init (&shard->requests);
  team_table_init (&shard->teams);
  rate_window_init (&shard->rate, clk_now (shard->clk));
  shard->affinity = affinity_new (AFFINITY_PREFIXES_MAX);
  shard_set_config (shard, options->cfg);
  return shard;
}

void
shard_free (struct shard_owner *shard)
{
  if (!shard)
    return;
  g_sequence_free (shard->deadlines);
  for (guint i = 0; i < shard->classes->len; i++)
    class_free (shard->classes->pdata[i]);
  for (guint i = 0; i < shard->servers->len; i++)
    server_free (shard->servers->pdata[i]);
  g_ptr_array_free (shard->classes, TRUE);
  g_ptr_array_free (shard->servers, TRUE);
  queued_table_clear (&shard->requests);
  team_table_clear (&shard->teams);
  affinity_free (shard->affinity);
  g_rand_free (shard->rand);
  cluster_unref (shard->cfg);
  g_free (shard);
}

static void
fill_request (struct shard_owner *shard, struct queued_request *request,
              const struct msg_enqueue *entry)
{
  gint64 now = clk_now (shard->clk);
  request->arrived = now - CLAMP (entry->waited_us, 0, SHARD_WAIT_MAX_US);
  request->deadline = now + CLAMP (entry->wait_us, 0, SHARD_WAIT_MAX_US);
  request->prefix = entry->prefix;
  request->sent_us = entry->sent_us;
  request->prompt_tokens = entry->prompt_tokens;
  request->generated = entry->generated;
  request->resumed = entry->generated;
  request->resumable = entry->resumable;
  memcpy (request->avoid, entry->avoid, sizeof request->avoid);
}

/* Registers a request that already runs; ingress instances report these to a
   new owner of the shard.  */
static void
enqueue_running (struct shard_owner *shard, const char *from,
                 const struct msg_enqueue *entry)
{
  struct shard_server *server = shard_find_server (shard, entry->running.s);
  struct queued_request *request
      = server ? queued_add (&shard->requests, from, entry->queue_entry,
                             clk_now (shard->clk))
               : NULL;
  if (!request)
    return;
  fill_request (shard, request, entry);
  shard_add_running (shard, request, server,
                     shard_find_class (shard, entry->class_name.s),
                     team_find (&shard->teams, entry->team.s));
}

/* Handles an ENQUEUE message for a request that exists here and runs, possibly
   by a grant of another owner.  */
static void
enqueue_running_again (struct shard_owner *shard, const char *from,
                       struct queued_request *request,
                       const struct msg_enqueue *entry)
{
  if (request->server
      && strcmp (request->server->cfg.name.s, entry->running.s) == 0)
    {
      request->state = QUEUED_RUNNING;
      if (request->resumable && !entry->resumable)
        shard_preempt_refused (shard, request);
      return;
    }
  shard_drop (shard, request);
  enqueue_running (shard, from, entry);
  shard_dispatch (shard);
}

static gboolean
excludes_server (const struct msg_enqueue *entry, const char *server)
{
  for (guint i = 0; i < MSG_AVOID_MAX; i++)
    if (strcmp (entry->avoid[i].s, server) == 0)
      return TRUE;
  return FALSE;
}

/* Returns whether some server that accepts requests is not among those that
   ENTRY excludes. If there is none, the ingress should try another shard.  */
static gboolean
has_server_for (const struct shard_owner *shard,
                const struct msg_enqueue *entry)
{
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const struct shard_server *server = shard->servers->pdata[i];
      if (server_accepts (server)
          && !excludes_server (entry, server->cfg.name.s))
        return TRUE;
    }
  return FALSE;
}

/* Returns the reason to reject a new request of CLASS, or MSG_REASON_N to admit
   it. May evict another request to make room.  */
static enum msg_reason
admit (struct shard_owner *shard, const char *from,
       const struct class_queue *class, const struct team_state *team,
       const struct msg_enqueue *entry)
{
  if (!class || !has_server_for (shard, entry))
    return MSG_REASON_NO_SERVER;
  if (shard_is_wait_too_long (shard, class, team, entry->wait_us))
    return MSG_REASON_DEADLINE;
  if (!queued_has_room (&shard->requests, from)
      || !shard_make_room (shard, class))
    return MSG_REASON_OVERLOAD;
  return MSG_REASON_N;
}

static void
enqueue_new (struct shard_owner *shard, const char *from,
             const struct msg_enqueue *entry)
{
  struct class_queue *class = shard_find_class (shard, entry->class_name.s);
  struct team_state *team = team_find (&shard->teams, entry->team.s);
  enum msg_reason reason = admit (shard, from, class, team, entry);
  if (reason != MSG_REASON_N)
    {
      shard_send_reject (shard, from, entry->queue_entry, reason, class, team);
      return;
    }
  struct queued_request *request = queued_add (
      &shard->requests, from, entry->queue_entry, clk_now (shard->clk));
  fill_request (shard, request, entry);
  shard_add_waiting (shard, request, class, team);
  shard_dispatch (shard);
  shard_preempt (shard);
}

/* Handles an ENQUEUE message, without a running server, for a request that
   exists here. A waiting request is updated. For a granted one the ingress has
   missed the grant: it is sent again, or the request is queued as a new one if
   its server no longer accepts requests.  */
static void
enqueue_waiting_again (struct shard_owner *shard, const char *from,
                       struct queued_request *request,
                       const struct msg_enqueue *entry)
{
  gint64 now = clk_now (shard->clk);
  queued_touch (&shard->requests, request, now);
  if (request->state == QUEUED_WAITING)
    {
      gint64 arrived = request->arrived;
      fill_request (shard, request, entry);
      request->arrived = arrived;
      shard_deadline_changed (request);
      shard_dispatch (shard);
      return;
    }
  if (!server_accepts (request->server))
    {
      shard_drop (shard, request);
      enqueue_new (shard, from, entry);
      return;
    }
  request->state = QUEUED_GRANTED;
  request->granted = now;
  request->sent_us = entry->sent_us;
  shard_send_grant (shard, request);
}

/* Handles an ENQUEUE message: queues the request, grants it a slot or rejects
   it.  */
void
shard_enqueue (struct shard_owner *shard, const char *from,
               const struct msg_enqueue *entry)
{
  struct queued_request *request
      = queued_find (&shard->requests, from, entry->queue_entry);
  if (strcmp (entry->shard.s, shard->name.s) != 0)
    shard_send_reject (shard, from, entry->queue_entry, MSG_REASON_NOT_OWNER,
                       NULL, NULL);
  else if (request && entry->running.s[0])
    enqueue_running_again (shard, from, request, entry);
  else if (request)
    enqueue_waiting_again (shard, from, request, entry);
  else if (entry->running.s[0])
    enqueue_running (shard, from, entry);
  else
    enqueue_new (shard, from, entry);
}

/* Drops a request that its ingress cancelled.  */
void
shard_withdraw (struct shard_owner *shard, const char *from, guint64 id)
{
  struct queued_request *request = queued_find (&shard->requests, from, id);
  if (!request)
    return;
  shard_drop (shard, request);
  shard_free_removed_servers (shard);
  shard_dispatch (shard);
}

/* Charges the TOKENS that REQUEST generated since its last report, and records
   TBT_US, the mean time between them (0: not measured).  */
static void
add_tokens (struct shard_owner *shard, struct queued_request *request,
            guint32 tokens, guint32 tbt_us)
{
  if (request->state == QUEUED_WAITING)
    return;
  server_add_tokens (request->server, tbt_us, tokens, clk_now (shard->clk));
  request->generated += tokens;
  if (request->class)
    class_charge (request->class, request, tokens);
}

/* Returns whether RESULT means that the server did not execute the request.  */
static gboolean
did_not_run (enum msg_result result)
{
  return result == MSG_RESULT_UNUSED || result == MSG_RESULT_NOT_SENT
         || result == MSG_RESULT_BUSY || result == MSG_RESULT_LEAVING;
}

/* Handles a PROGRESS message: keeps the listed requests alive, confirms their
   grants and records the tokens they generated.  */
void
shard_progress (struct shard_owner *shard, const char *from,
                const struct msg_progress *progress)
{
  gint64 now = clk_now (shard->clk);
  for (guint i = 0; i < progress->n_items; i++)
    {
      struct queued_request *request = queued_find (
          &shard->requests, from, progress->items[i].queue_entry);
      if (!request)
        continue;
      queued_touch (&shard->requests, request, now);
      request->sent_us = progress->sent_us;
      if (request->state == QUEUED_GRANTED
          && (progress->items[i].tokens > 0
              || now - request->granted >= SHARD_USE_CONFIRM_US))
        request->state = QUEUED_RUNNING;
      add_tokens (shard, request, progress->items[i].tokens,
                  progress->items[i].tbt_us);
    }
}

/* Updates the mean prefill time per token from a time to first token. A resumed
   request has its earlier tokens to prefill as well.  */
static void
update_prefill_estimate (struct shard_owner *shard,
                         const struct queued_request *request, guint32 ttft_us)
{
  guint32 tokens = request->prompt_tokens + request->resumed;
  if (ttft_us > 0 && tokens >= SHARD_PREFILL_TOKENS_MIN)
    server_health_mean_add (&shard->prefill_us_per_token,
                            (double)ttft_us / tokens, SHARD_PREFILL_WEIGHT);
}

static void
review_health (struct shard_owner *shard)
{
  struct server_health *peers[SHARD_SERVERS_MAX];
  guint n = 0;
  for (guint i = 0; i < shard->servers->len && n < SHARD_SERVERS_MAX; i++)
    {
      struct shard_server *server = shard->servers->pdata[i];
      if (server_accepts (server))
        peers[n++] = &server->health;
    }
  counter_add (
      shard->counter_set, COUNTER_EJECTIONS,
      server_health_review (peers, n, clk_now (shard->clk), shard->rand));
}

/* Records the end of an attempt on SERVER. If the request was not executed, the
   tokens charged at its start and the assumed prefix cache entry are
   undone.  */
static void
record_end (struct shard_owner *shard, struct queued_request *request,
            struct shard_server *server, const struct msg_release *release)
{
  add_tokens (shard, request, release->tokens, release->tbt_us);
  server_add_result (server, request, release);
  update_prefill_estimate (shard, request, release->ttft_us);
  if (!did_not_run (release->result))
    return;
  if (request->class)
    class_charge (request->class, request, -(double)request->charged);
  affinity_remove (shard->affinity, request->prefix, server->affinity_index);
}

/* Handles the end of an attempt: frees the request and its slot.  */
void
shard_release (struct shard_owner *shard, const char *from,
               const struct msg_release *release)
{
  struct queued_request *request
      = queued_find (&shard->requests, from, release->queue_entry);
  if (!request)
    return;
  if (request->server)
    record_end (shard, request, request->server, release);
  if (request->server && request->server->health.consecutive_failures > 0)
    review_health (shard);
  shard_drop (shard, request);
  shard_free_removed_servers (shard);
  shard_reject_if_unserved (shard);
  shard_dispatch (shard);
}

/* Drops all requests of an ingress instance that is down or was restarted.  */
void
shard_ingress_lost (struct shard_owner *shard, const char *from)
{
  struct ingress_instance *ingress;
  while ((ingress = queued_find_ingress (&shard->requests, from)))
    shard_drop (shard, ingress->requests.head->data);
  shard_free_removed_servers (shard);
  shard_dispatch (shard);
}

/* Marks BACKEND as leaving or back. A leaving server gets no new requests.  */
void
shard_set_leaving (struct shard_owner *shard, const char *backend,
                   gboolean leaving)
{
  struct shard_server *server = shard_find_server (shard, backend);
  if (!server)
    return;
  server->leaving = leaving;
  shard_reject_if_unserved (shard);
  shard_dispatch (shard);
}

/* Records BACKEND's own load report, which describes a moment in the past.  */
void
shard_load_report (struct shard_owner *shard, const char *backend,
                   const struct shard_load *load)
{
  struct shard_server *server = shard_find_server (shard, backend);
  if (server)
    server_set_load (server, load, clk_now (shard->clk));
}

/* Updates the prefix affinity table; BACKEND's prefix cache may differ from
   it.  */
void
shard_cache_event (struct shard_owner *shard, const char *backend,
                   guint64 prefix, gboolean cached)
{
  const struct shard_server *server = shard_find_server (shard, backend);
  if (!server || prefix == 0)
    return;
  if (cached)
    affinity_add (shard->affinity, prefix, server->affinity_index,
                  clk_now (shard->clk));
  else
    affinity_remove (shard->affinity, prefix, server->affinity_index);
}

static void
expire_deadlines (struct shard_owner *shard, gint64 now)
{
  while (!g_sequence_is_empty (shard->deadlines))
    {
      struct queued_request *request
          = g_sequence_get (g_sequence_get_begin_iter (shard->deadlines));
      if (request->deadline > now)
        return;
      shard_reject (shard, request,
                    team_is_at_limit (request->team) ? MSG_REASON_TEAM_LIMIT
                                                     : MSG_REASON_DEADLINE);
    }
}

static void
expire_silent (struct shard_owner *shard, gint64 now)
{
  GList *l;
  while ((l = shard->requests.by_last_heard.head))
    {
      struct queued_request *request = l->data;
      if (now - request->last_heard < SHARD_SILENCE_MAX_US)
        return;
      shard_drop (shard, request);
    }
}

static void
expire_grants (struct shard_owner *shard, gint64 now)
{
  for (guint i = 0; i < shard->servers->len; i++)
    {
      struct shard_server *server = shard->servers->pdata[i];
      for (GList *l = server->in_flight.head, *next; l; l = next)
        {
          struct queued_request *request = l->data;
          next = l->next;
          if (request->state != QUEUED_GRANTED
              || now - request->granted < SHARD_GRANT_EXPIRY_US)
            continue;
          counter_add (shard->counter_set, COUNTER_GRANT_EXPIRED, 1);
          shard_drop (shard, request);
        }
    }
}

/* Expires deadlines, grants and silent requests, and updates servers' limits
   and health.  */
void
shard_tick (struct shard_owner *shard)
{
  gint64 now = clk_now (shard->clk);
  expire_deadlines (shard, now);
  expire_grants (shard, now);
  expire_silent (shard, now);
  for (guint i = 0; i < shard->servers->len; i++)
    server_tick (shard->servers->pdata[i], now);
  review_health (shard);
  shard_free_removed_servers (shard);
  shard_dispatch (shard);
  shard_preempt (shard);
}

gboolean
shard_is_idle (const struct shard_owner *shard)
{
  return g_hash_table_size (shard->requests.all) == 0;
}
