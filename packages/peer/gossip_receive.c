/* Handling of messages received from peers.  */
#include "peer/gossip_internal.h"

/* Added to the reported age of a member with each forwarding. It exceeds the
   delay of a message, so that reports about a stopped instance, which peers
   keep repeating to each other, age until they are dropped.  */
#define MEMBER_HOP_AGE_US (500 * CLK_MS)

/* Between two messages that are sent to a peer before they are due. */
#define HELP_INTERVAL_US (100 * CLK_MS)

/* Set in the key under which the load of a complete domain is stored among the
   loads of single peers, which have their IP addresses as keys. The addresses
   from 240.0.0.0 on are reserved, so no instance has such a key.  */
#define DOMAIN_PEER_FLAG 0xf0000000u

/* Returns the servers by their keys; valid until REGISTRY changes.  */
static GHashTable *
index_by_key (struct gossip *gossip, struct registry *registry)
{
  guint n;
  struct registry_server *const *servers = registry_servers (registry, &n);
  if (gossip->index_generation == registry_generation (registry))
    return gossip->servers_by_key;
  gossip->index_generation = registry_generation (registry);
  g_hash_table_remove_all (gossip->servers_by_key);
  for (guint i = 0; i < n; i++)
    g_hash_table_insert (gossip->servers_by_key,
                         GUINT_TO_POINTER (gossip_server_key (servers[i])),
                         servers[i]);
  return gossip->servers_by_key;
}

/* Replaces the load that PEER has at the servers, or that a domain has if
   SUMMARY. Servers that are not in the registry here are left out.  */
static void
apply_loads (GHashTable *servers_by_key, guint32 peer, gboolean summary,
             const struct gossip_message_load *loads, guint n,
             struct server_load_table *server_load_table, gint64 now)
{
  server_load_report_begin (server_load_table, peer, summary, now);
  for (guint i = 0; i < n; i++)
    {
      const struct registry_server *server = g_hash_table_lookup (
          servers_by_key, GUINT_TO_POINTER (loads[i].server_key));
      if (server != NULL)
        server_load_report_add (server_load_table, peer, server->number,
                                &loads[i].load);
    }
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

/* Records the load of other domains. A summary that another domain sent
   directly is kept, to be forwarded within this one.  */
static void
apply_summaries (struct gossip *gossip, GHashTable *servers_by_key,
                 const struct gossip_message *message, gboolean is_local,
                 struct server_load_table *server_load_table, gint64 now)
{
  for (guint i = 0; i < message->n_summaries; i++)
    {
      const struct gossip_message_summary *summary = &message->summaries[i];
      if (g_str_equal (summary->domain, gossip->domain.s))
        continue;
      guint32 peer
          = DOMAIN_PEER_FLAG
            | (guint32)(str_hash (str_of (summary->domain), 0) & 0xfffffff);
      apply_loads (servers_by_key, peer, TRUE, summary->loads, summary->n,
                   server_load_table, now);
      if (is_local)
        continue;
      struct summary *received = g_new (struct summary, 1);
      received->summary = *summary;
      received->last_heard = now;
      g_hash_table_replace (gossip->summaries, g_strdup (summary->domain),
                            received);
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

/* Derives a lower bound for the time at which the peer's configuration version
   was confirmed as the newest. The clocks of instances differ, so only the own
   clock is used: the peer sent its message after it had received the one that
   it echoes, and its confirmation had age config_age_us by then. So it dates
   from no earlier than the time at which the echoed message was sent, less
   that age. Without a usable echo, confirmed_after is 0.  */
static struct gossip_config_freshness
config_freshness (const struct gossip *gossip, const struct peer *peer,
                  const struct gossip_message *message)
{
  struct gossip_config_freshness freshness = { 0 };
  if (message->config_age_us < 0 || message->echo_seq == 0
      || message->echo_incarnation != gossip->incarnation
      || message->echo_seq > peer->seq
      || peer->seq - message->echo_seq >= SENT_TIMES_KEPT)
    return freshness;
  gint64 confirmed_after = peer->sent_at[message->echo_seq % SENT_TIMES_KEPT]
                           - message->config_age_us;
  if (confirmed_after > 0)
    freshness = (struct gossip_config_freshness){ .config_version
                                                  = message->config_version,
                                                  .confirmed_after
                                                  = confirmed_after };
  return freshness;
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
    .store_era = message->store_era,
    .joined = !same
  };
  g_strlcpy (update->id, message->id, sizeof update->id);
  g_strlcpy (peer->domain, message->domain, sizeof peer->domain);
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
    apply_loads (servers_by_key, ip, FALSE, message->loads, message->n_loads,
                 server_load_table, now);
  for (guint i = 0; i < message->n_unreachable; i++)
    {
      struct registry_server *server = g_hash_table_lookup (
          servers_by_key, GUINT_TO_POINTER (message->unreachable[i]));
      if (server != NULL)
        registry_peer_found_unreachable (server, now);
    }
  apply_leaving (servers_by_key, message, registry);
  apply_summaries (gossip, servers_by_key, message, is_local, server_load_table,
                   now);
  apply_placements (gossip, servers_by_key, message, is_local, prefix_directory,
                    now);
  return 0;
}
