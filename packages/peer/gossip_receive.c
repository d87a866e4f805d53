/* Handling of messages received from peers.  */
#include "peer/gossip_internal.h"

/* Added to the reported age of a member with each forwarding. It exceeds the
   delay of a message, so that reports about a stopped instance, which peers
   keep repeating to each other, age until they are dropped.  */
#define MEMBER_HOP_AGE_US (500 * CLK_MS)

/* Between two messages that are sent to a peer before they are due. */
#define HELP_INTERVAL_US (100 * CLK_MS)

/* Lets all peers send complete lists of loads: those of servers that were
   removed here are lost, and a server may come back.  */
static void
forget_held (struct gossip *gossip)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct peer *)value)->loads_held = 0;
  g_hash_table_iter_init (&iter, gossip->summaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct summary *)value)->held = 0;
}

/* Returns the servers by their keys; valid until REGISTRY changes.  */
static GHashTable *
index_by_key (struct gossip *gossip, struct registry *registry)
{
  guint n;
  struct registry_server *const *servers = registry_servers (registry, &n);
  if (gossip->index_generation == registry_generation (registry))
    return gossip->servers_by_key;
  gossip->index_generation = registry_generation (registry);
  guint n_before = g_hash_table_size (gossip->servers_by_key);
  guint n_kept = 0;
  for (guint i = 0; i < n; i++)
    n_kept += g_hash_table_contains (
        gossip->servers_by_key,
        GUINT_TO_POINTER (gossip_server_key (servers[i])));
  if (n_kept < n_before)
    forget_held (gossip);
  g_hash_table_remove_all (gossip->servers_by_key);
  for (guint i = 0; i < n; i++)
    g_hash_table_insert (gossip->servers_by_key,
                         GUINT_TO_POINTER (gossip_server_key (servers[i])),
                         servers[i]);
  return gossip->servers_by_key;
}

/* Loads that a peer has told: its own, or with SUMMARY those of a domain.  */
struct told_loads
{
  const struct gossip_message_load *loads;
  guint n;
  struct gossip_message_range range;
  gboolean summary;
};

/* Replaces or changes the load that is recorded under the key PEER. HELD is the
   last change that is held of it. Returns the last one that is held then, or 0
   if the complete list is needed: without what the changes are based on, or if
   a server is not in the registry here. What could be applied counts all the
   same.  */
static guint64
apply_loads (GHashTable *servers_by_key, guint32 peer,
             const struct told_loads *told, guint64 held,
             struct server_load_table *server_load_table, gint64 now)
{
  gboolean has_report
      = told->range.since != 0
        && server_load_report_continue (server_load_table, peer, now);
  gboolean complete
      = told->range.since == 0 || (has_report && told->range.since <= held);
  if (!has_report)
    server_load_report_begin (server_load_table, peer, told->summary, now);
  for (guint i = 0; i < told->n; i++)
    {
      const struct gossip_message_load *load = &told->loads[i];
      const struct registry_server *server = g_hash_table_lookup (
          servers_by_key, GUINT_TO_POINTER (load->server_key));
      if (server == NULL)
        complete &= load->load.requests == 0;
      else if (load->load.requests == 0)
        server_load_report_remove (server_load_table, peer, server->number);
      else
        server_load_report_add (server_load_table, peer, server->number,
                                &load->load);
    }
  return complete ? told->range.through : 0;
}

/* Adds the placements of a message to the directory of cached prefixes, and
   queues for forwarding those that peers would not receive otherwise.  */
static void
apply_placements (struct gossip *gossip, GHashTable *servers_by_key,
                  const struct gossip_message *message, gboolean is_local,
                  struct prefix_directory *prefix_directory, gint64 now)
{
  for (guint i = 0; i < message->n_placements; i++)
    {
      const struct gossip_message_placement *placement
          = &message->placements[i];
      const struct registry_server *server = g_hash_table_lookup (
          servers_by_key, GUINT_TO_POINTER (placement->server_key));
      if (server == NULL)
        continue;
      gboolean own = is_local && i < message->n_own_placements;
      if (own)
        directory_sample_reuse (prefix_directory, &placement->prompt, now);
      directory_record (prefix_directory, server->number, 0, &placement->prompt,
                        now);
      /* A peer of this domain also forwards placements of other domains. Only
         its own ones are forwarded to other domains from here. */
      if (!is_local)
        gossip_ring_add (&gossip->placement_rings[RING_REMOTE], placement);
      else if (own && i >= message->n_home_placements
               && gossip_is_large_placement (placement))
        gossip_ring_add (&gossip->placement_rings[RING_DOMAIN], placement);
    }
}

/* Returns the summary of DOMAIN if the instance at IP is its source or becomes
   it, otherwise NULL. Changes are based on what the same source told before, so
   another takes over only if it has fallen silent. An instance of that domain
   takes precedence over those that forward what it says.  */
static struct summary *
summary_from (struct gossip *gossip, const char *domain, guint32 ip,
              gboolean is_direct, gint64 now)
{
  struct summary *summary = g_hash_table_lookup (gossip->summaries, domain);
  if (summary == NULL)
    {
      summary = g_new0 (struct summary, 1);
      g_strlcpy (summary->domain, domain, sizeof summary->domain);
      g_hash_table_insert (gossip->summaries, summary->domain, summary);
    }
  else if (summary->source != ip
           && now - summary->last_heard <= SUMMARY_SOURCE_LAPSE_US
           && (summary->is_direct || !is_direct))
    return NULL;
  if (summary->source != ip || summary->is_direct != is_direct)
    summary->held = 0;
  if (is_direct && summary->changes == NULL)
    summary->changes = load_changes_new (&gossip->n_load_changes, 0);
  if (!is_direct)
    g_clear_pointer (&summary->changes, load_changes_free);
  summary->source = ip;
  summary->is_direct = is_direct;
  summary->last_heard = now;
  return summary;
}

/* Keeps the load of another domain to forward it within this one.  */
static void
keep_summary (struct load_changes *changes, const struct told_loads *told,
              gint64 now)
{
  if (told->range.since == 0)
    load_changes_begin (changes);
  for (guint i = 0; i < told->n; i++)
    load_changes_set (changes, &told->loads[i], now);
  if (told->range.since == 0)
    load_changes_end (changes, now);
}

/* Records the load of other domains.  */
static void
apply_summaries (struct gossip *gossip, GHashTable *servers_by_key, guint32 ip,
                 const struct gossip_message *message, gboolean is_local,
                 struct server_load_table *server_load_table, gint64 now)
{
  for (guint i = 0; i < message->n_summaries; i++)
    {
      const struct gossip_message_summary *received = &message->summaries[i];
      if (g_str_equal (received->domain, gossip->domain.s))
        continue;
      struct summary *summary
          = summary_from (gossip, received->domain, ip, !is_local, now);
      if (summary == NULL)
        continue;
      const struct told_loads told
          = { received->loads, received->n, received->range, TRUE };
      guint32 peer = server_load_domain_peer (received->domain);
      summary->held = apply_loads (servers_by_key, peer, &told, summary->held,
                                   server_load_table, now);
      if (summary->changes != NULL)
        keep_summary (summary->changes, &told, now);
    }
}

/* Records what PEER holds of the lists of loads that were sent to it.  */
static void
apply_held (const struct gossip *gossip, struct peer *peer,
            const struct gossip_message *message)
{
  gboolean same = message->echo_incarnation == gossip->incarnation;
  peer->loads_confirmed = same ? message->loads_held : 0;
  g_array_set_size (peer->summaries_confirmed, 0);
  if (same)
    g_array_append_vals (peer->summaries_confirmed, message->held,
                         message->n_held);
}

/* Records what PEER has told of suspected parts, and what it holds of those
   here.  */
static void
apply_suspects (const struct gossip *gossip, struct peer *peer,
                const struct gossip_message *message, gint64 now)
{
  const struct gossip_message_suspects *suspects = &message->suspects;
  if (gossip->suspects == NULL)
    return;
  peer->suspects_confirmed
      = message->echo_incarnation == gossip->incarnation
            ? MIN (suspects->held, suspects_n_changes (gossip->suspects))
            : 0;
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      struct suspects_crash crash = suspects->crashes[i];
      crash.at = now - crash.at;
      suspects_merge (gossip->suspects, &crash);
    }
  if (suspects->range.since <= peer->suspects_held)
    peer->suspects_held = suspects->range.through;
  suspects_set_peer_trials (gossip->suspects, peer->ip, suspects->trials,
                            suspects->n_trials, now);
}

/* Drops what is known of the lists of the former incarnation of PEER.  */
static void
forget_incarnation (struct gossip *gossip, struct peer *peer)
{
  GHashTableIter iter;
  gpointer value;
  peer->loads_held = 0;
  peer->suspects_held = 0;
  g_hash_table_iter_init (&iter, gossip->summaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct summary *summary = value;
      if (summary->source == peer->ip)
        summary->held = 0;
    }
}

/* Records the servers that a peer knows to be leaving. Their keys name lives,
   so a server that has started again since is not found.  */
static void
apply_leaving (GHashTable *servers_by_key, const struct gossip_message *message,
               struct registry *registry)
{
  for (guint i = 0; i < message->n_leaving; i++)
    {
      struct registry_server *server = g_hash_table_lookup (
          servers_by_key, GUINT_TO_POINTER (message->leaving[i]));
      if (server != NULL)
        registry_peer_found_leaving (registry, server);
    }
}

/* Returns a lower bound for the time at which PEER sent MESSAGE: it had
   received the message that it echoes. Only the own clock is used, as those of
   the instances differ. Without a usable echo, returns 0.  */
static gint64
sent_after (const struct gossip *gossip, const struct peer *peer,
            const struct gossip_message *message)
{
  if (message->echo_seq == 0 || message->echo_incarnation != gossip->incarnation
      || message->echo_seq > peer->seq
      || peer->seq - message->echo_seq >= SENT_TIMES_KEPT)
    return 0;
  return peer->sent_at[message->echo_seq % SENT_TIMES_KEPT];
}

/* Derives a lower bound for the time at which the peer's configuration version
   was confirmed as the newest: its confirmation had age config_age_us when it
   sent its message. Without a usable echo, confirmed_after is 0.  */
static struct gossip_config_freshness
config_freshness (const struct gossip *gossip, const struct peer *peer,
                  const struct gossip_message *message)
{
  struct gossip_config_freshness freshness = { 0 };
  gint64 sent = sent_after (gossip, peer, message);
  if (message->config_age_us < 0 || sent == 0)
    return freshness;
  gint64 confirmed_after = sent - message->config_age_us;
  if (confirmed_after > 0)
    freshness = (struct gossip_config_freshness){ .config_version
                                                  = message->config_version,
                                                  .confirmed_after
                                                  = confirmed_after };
  return freshness;
}

/* Returns a lower bound for the time at which the peer's list of servers was
   read; 0: unknown. An estimate that may be too high would be repeated between
   instances, each time a little higher, and an old list would pass for new.  */
static gint64
list_read_at (const struct gossip *gossip, const struct peer *peer,
              const struct gossip_message *message)
{
  gint64 sent = sent_after (gossip, peer, message);
  if (message->server_list_age_us < 0 || sent == 0)
    return 0;
  return MAX (sent - message->server_list_age_us, 0);
}

/* Takes over what MESSAGE says of the holder of the duties' lease.  */
static void
apply_duty (struct gossip *gossip, const struct peer *peer,
            const struct gossip_message *message)
{
  gint64 sent = sent_after (gossip, peer, message);
  struct gossip_duty duty
      = { .fence = message->duty_fence, .ip = message->duty_ip };
  if (message->duty_age > 0 && sent > 0)
    duty.held_at = MAX (sent - (gint64)(message->duty_age - 1) * CLK_MS, 0);
  gossip_note_duty (gossip, &duty);
}

/* Sends the next message to PEER at once if MESSAGE shows that it has just
   started: it has an older configuration than this instance, or no confirmation
   that its configuration is the newest. Clients reach it before its next
   messages are due. Such messages to one peer keep HELP_INTERVAL_US between
   them.  */
static void
help_starting_peer (struct gossip *gossip, struct peer *peer,
                    const struct gossip_message *message, gint64 now)
{
  const struct gossip_local_state *state = &gossip->state;
  gboolean lacks_version = message->config_version < state->config_version;
  gboolean lacks_confirmation = message->config_version == state->config_version
                                && message->config_age_us < 0
                                && state->config_age_us >= 0;
  if (!lacks_version && !lacks_confirmation)
    return;
  peer->helped_at = MAX (now, peer->helped_at + HELP_INTERVAL_US);
  peer->next_send = MIN (peer->next_send, peer->helped_at);
}

/* Applies a datagram received from the instance at IP. Returns 0 and sets
   UPDATE, ERR_CONFLICT without a text in ERR if a newer message of the same
   incarnation has been received already, or another negative number if the
   datagram is invalid.  */
int
gossip_receive (struct gossip *gossip, guint32 ip, struct str bytes, gint64 now,
                struct registry *registry,
                struct server_load_table *server_load_table,
                struct prefix_directory *prefix_directory,
                struct gossip_update *update, struct err *err)
{
  struct gossip_message *message = &gossip->scratch_message;
  int code = gossip_message_decode (bytes, message, err);
  if (code < 0)
    return code;
  struct peer *peer = gossip_add_peer (gossip, ip, message->domain, now);
  if (peer == NULL)
    return err_set (err, ERR_INVALID, "peer.receive", message->id,
                    "sender address is this instance's own address");
  gboolean same = message->incarnation == peer->incarnation;
  if (same && (gint32)(message->seq - peer->last_seq) <= 0)
    return ERR_CONFLICT; /* older than one already received */
  *update = (struct gossip_update){
    .freshness = config_freshness (gossip, peer, message),
    .config_version = message->config_version,
    .config_age_us = message->config_age_us,
    .server_list_digest = message->server_list_digest,
    .server_list_age_us = message->server_list_age_us,
    .server_list_read_at = list_read_at (gossip, peer, message),
    .store_era = message->store_era,
    .version_table = message->version_table,
    .joined = !same,
    .asks_for_servers = message->asks_for_servers
  };
  g_strlcpy (update->id, message->id, sizeof update->id);
  g_strlcpy (peer->domain, message->domain, sizeof peer->domain);
  if (!same)
    forget_incarnation (gossip, peer);
  peer->incarnation = message->incarnation;
  peer->last_heard = now;
  peer->wants_reply = message->wants_reply;
  peer->n_waiting = message->n_waiting;
  peer->last_seq = message->seq;
  peer->last_incarnation = message->incarnation;
  for (guint i = 0; i < message->n_members; i++)
    gossip_add_peer (gossip, message->members[i].ip, message->members[i].domain,
                     now - (gint64)message->members[i].age_ms * CLK_MS
                         - MEMBER_HOP_AGE_US);
  help_starting_peer (gossip, peer, message, now);
  apply_duty (gossip, peer, message);
  gboolean is_local = gossip_is_local_peer (gossip, peer);
  for (guint i = 0; is_local && i < message->n_rejections; i++)
    update->rejections[update->n_rejections++] = (struct overload_rejection){
      .service_key = message->rejections[i].service_key,
      .tier = message->rejections[i].tier,
      .tokens = message->rejections[i].tokens,
      .at = now - (gint64)message->rejections[i].age_ms * CLK_MS
    };
  GHashTable *servers_by_key = index_by_key (gossip, registry);
  if (message->n_summaries == 0 || is_local)
    {
      const struct told_loads told
          = { message->loads, message->n_loads, message->loads_range, FALSE };
      peer->loads_held = apply_loads (servers_by_key, ip, &told,
                                      peer->loads_held, server_load_table, now);
    }
  for (guint i = 0; i < message->n_unreachable; i++)
    {
      struct registry_server *server = g_hash_table_lookup (
          servers_by_key, GUINT_TO_POINTER (message->unreachable[i]));
      if (server != NULL)
        registry_peer_found_unreachable (server, now);
    }
  apply_leaving (servers_by_key, message, registry);
  gint64 sent = sent_after (gossip, peer, message);
  update->brittle_full
      = gossip_apply_limits (gossip, servers_by_key, peer, message, sent, now);
  gossip_apply_relays (gossip, peer, message, sent);
  apply_suspects (gossip, peer, message, now);
  apply_held (gossip, peer, message);
  apply_summaries (gossip, servers_by_key, ip, message, is_local,
                   server_load_table, now);
  apply_placements (gossip, servers_by_key, message, is_local, prefix_directory,
                    now);
  return 0;
}
