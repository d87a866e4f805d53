#include "peer/gossip_internal.h"

#include <string.h>

/* Up to FULL_MESH_MAX instances all send to each other. In a larger deployment
   each instance sends to the peers of its own failure domain only. The one
   with the lowest address, the leader, also exchanges messages with the
   leaders of the other domains: it sends the total load of its domain and the
   large prompts that were placed there, and forwards what it receives to its
   own domain. The traffic of an instance thus grows with the size of its
   domain and not with the size of the deployment.  */

/* Between two messages to the same peer of the own domain: the minimum, and
   the interval for each peer in the domain, if that gives more.  */
#define LOCAL_INTERVAL_MIN_US (100 * CLK_MS)
#define LOCAL_INTERVAL_PER_PEER_US (16 * CLK_MS)

/* Between two messages to a peer of another domain: in a full mesh, and
   otherwise, where only leaders and peers that request messages get them.  */
#define REMOTE_INTERVAL_US (250 * CLK_MS)
#define LEADER_INTERVAL_US (500 * CLK_MS)

/* One part in so many by which the loads that other domains know may be off. */
#define SUMMARY_TOLERANCE 8

/* Between two messages to an unresponsive peer. */
#define UNRESPONSIVE_INTERVAL_US (1 * CLK_S)

/* Age of the last sign of life of an instance beyond which it is removed,
   unless it is a seed.  */
#define PEER_REMOVE_AFTER_US (60 * CLK_S)

/* Returns a key that identifies a server in messages. A server that has
   restarted has a new key.  */
guint32
gossip_server_key (const struct registry_server *server)
{
  guint64 hash = registry_life_key (server);
  return (guint32)(hash ^ (hash >> 32));
}

/* Adds the instance at IP, which was alive at REPORTED. Returns NULL for the
   own address and for 0.  */
struct peer *
gossip_add_peer (struct gossip *gossip, guint32 ip, const char *domain,
                 gint64 reported)
{
  gpointer key = GUINT_TO_POINTER (ip);
  struct peer *peer = g_hash_table_lookup (gossip->peers, key);
  if (ip == gossip->ip || ip == 0)
    return NULL;
  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->ip = ip;
      peer->summaries_confirmed
          = g_array_new (FALSE, FALSE, sizeof (struct gossip_message_held));
      for (guint i = 0; i < RING_N; i++)
        peer->n_placements_sent[i] = gossip->placement_rings[i].n;
      g_hash_table_insert (gossip->peers, key, peer);
    }
  peer->last_reported = MAX (peer->last_reported, reported);
  if (peer->domain[0] == '\0')
    g_strlcpy (peer->domain, domain, sizeof peer->domain);
  return peer;
}

static void
peer_free (gpointer data)
{
  struct peer *peer = data;
  g_array_unref (peer->summaries_confirmed);
  g_free (peer);
}

static void
summary_free (gpointer data)
{
  struct summary *summary = data;
  load_changes_free (summary->changes);
  g_free (summary);
}

struct gossip *
gossip_new (const struct gossip_options *options, gint64 now)
{
  struct gossip *gossip = g_new0 (struct gossip, 1);
  str_id_set (&gossip->id, str_of (options->id));
  str_id_set (&gossip->domain, str_of (options->domain));
  gossip->ip = options->ip;
  gossip->incarnation = options->incarnation;
  gossip->suspects = options->suspects;
  gossip->duty_term_us = options->duty_term_us;
  gossip->started_at = now;
  gossip->seeds = g_array_new (FALSE, FALSE, sizeof (guint32));
  g_array_append_vals (gossip->seeds, options->seeds, options->n_seeds);
  gossip->peers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, peer_free);
  gossip->summaries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, summary_free);
  gossip->own_loads = load_changes_new (&gossip->n_load_changes, 0);
  gossip->own_summary
      = load_changes_new (&gossip->n_load_changes, SUMMARY_TOLERANCE);
  gossip->servers_by_key = g_hash_table_new (g_direct_hash, g_direct_equal);
  gossip->scratch_bytes = g_byte_array_new ();
  for (guint i = 0; i < options->n_seeds; i++)
    gossip_add_peer (gossip, options->seeds[i], "", now);
  return gossip;
}

void
gossip_free (struct gossip *gossip)
{
  if (gossip == NULL)
    return;
  g_array_unref (gossip->seeds);
  g_hash_table_unref (gossip->peers);
  g_hash_table_unref (gossip->summaries);
  g_hash_table_unref (gossip->servers_by_key);
  g_byte_array_unref (gossip->scratch_bytes);
  load_changes_free (gossip->own_loads);
  load_changes_free (gossip->own_summary);
  g_free (gossip);
}

void
gossip_ring_add (struct placement_ring *placement_ring,
                 const struct gossip_message_placement *placement)
{
  placement_ring->placements[placement_ring->n++ % PLACEMENTS_KEPT]
      = *placement;
}

gboolean
gossip_is_large_placement (const struct gossip_message_placement *placement)
{
  return prefix_shared_tokens (&placement->prompt) >= PREFIX_LARGE_TOKENS;
}

/* Records that a prompt was sent to SERVER, so that peers are notified. Other
   domains are not told of placements AT_HOME: they look there anyway, and in a
   large fleet these are most of all placements, more than the messages hold. */
void
gossip_add_placement (struct gossip *gossip,
                      const struct registry_server *server,
                      const struct prefix_prompt *prompt, gboolean at_home)
{
  const struct gossip_message_placement placement
      = { .server_key = gossip_server_key (server), .prompt = *prompt };
  gossip_ring_add (&gossip->placement_rings[at_home ? RING_HOME : RING_OWN],
                   &placement);
  if (!at_home && gossip_is_large_placement (&placement))
    gossip_ring_add (&gossip->placement_rings[RING_DOMAIN], &placement);
}

/* Sends the next message to the instance at IP at once. Its reply confirms the
   configuration that was just fetched from it.  */
void
gossip_ask (struct gossip *gossip, guint32 ip)
{
  struct peer *peer
      = g_hash_table_lookup (gossip->peers, GUINT_TO_POINTER (ip));
  if (peer != NULL)
    peer->next_send = 0;
}

/* Has the next messages to all peers sent at the next tick, because a suspected
   part has changed here or, if not OWN, at a peer: then only the leader of a
   domain sends them, to forward it.  */
void
gossip_hurry (struct gossip *gossip, gboolean own, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  if (!own
      && (gossip_is_full_mesh (gossip, now)
          || gossip_domain_rank (gossip, now) != 0))
    return;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct peer *)value)->next_send = 0;
}

static void
send_to (struct gossip *gossip, struct peer *peer,
         const struct gossip_round *round)
{
  struct gossip_message *message = &gossip->scratch_message;
  const struct gossip_local_state *state = round->state;
  gossip_message_clear (message);
  memset (gossip->scratch_added, 0, sizeof gossip->scratch_added);
  for (guint i = 0; i < GOSSIP_MESSAGE_SUMMARIES_MAX; i++)
    message->summaries[i].n = 0;
  g_strlcpy (message->id, gossip->id.s, sizeof message->id);
  g_strlcpy (message->domain, gossip->domain.s, sizeof message->domain);
  message->incarnation = gossip->incarnation;
  message->seq = ++peer->seq;
  message->echo_seq = peer->last_seq;
  message->echo_incarnation = peer->last_incarnation;
  message->config_version = state->config_version;
  message->config_age_us = state->config_age_us;
  message->server_list_digest = state->server_list_digest;
  message->server_list_age_us = state->server_list_age_us;
  message->n_waiting = state->n_waiting;
  message->store_era = state->store_era;
  message->version_table = state->version_table;
  message->n_rejections = state->n_rejections;
  for (guint i = 0; i < state->n_rejections; i++)
    message->rejections[i] = (struct gossip_message_rejection){
      .service_key = state->rejections[i].service_key,
      .tier = state->rejections[i].tier,
      .tokens = state->rejections[i].tokens,
      .age_ms = (guint)((round->now - state->rejections[i].at) / CLK_MS)
    };
  message->wants_reply = round->is_leader || round->n_local_peers == 0
                         || (state->config_age_us < 0
                             && gossip_is_starting (gossip, round->now));
  gossip_add_duty (gossip, message, round->now);
  gossip_add_contents (gossip, peer, message, round);
  peer->sent_at[message->seq % SENT_TIMES_KEPT] = round->now;
  gossip_encode_within_limit (gossip, peer, round->now);
  round->send (round->ctx, peer->ip,
               (struct str){ (const char *)gossip->scratch_bytes->data,
                             gossip->scratch_bytes->len });
}

static gboolean
is_seed (const struct gossip *gossip, guint32 ip)
{
  for (guint i = 0; i < gossip->seeds->len; i++)
    if (g_array_index (gossip->seeds, guint32, i) == ip)
      return TRUE;
  return FALSE;
}

/* Returns the interval between messages to each of N peers of the own domain.
 */
static gint64
interval_among (guint n)
{
  return MAX (LOCAL_INTERVAL_MIN_US, LOCAL_INTERVAL_PER_PEER_US * (gint64)n);
}

/* Returns the time within which each peer of the own domain sends a message. */
gint64
gossip_local_interval_us (const struct gossip *gossip, gint64 now)
{
  return interval_among (gossip_local_peer_count (gossip, now));
}

/* Returns the interval between messages to PEER, or 0 if it gets none.  */
static gint64
send_interval (const struct gossip *gossip, const struct peer *peer,
               const struct gossip_round *round)
{
  gint64 now = round->now;
  gboolean unresponsive = gossip_is_unresponsive (peer, now);
  if (gossip_is_local_peer (gossip, peer))
    {
      if (unresponsive)
        return UNRESPONSIVE_INTERVAL_US;
      /* Contenders take turns at the engines, so each needs to know soon what
         the others have sent. */
      return interval_among (round->state->n_waiting > 0
                                     && gossip_is_contender (gossip, peer, now)
                                 ? round->n_contenders
                                 : round->n_local_peers);
    }
  if (round->full_mesh)
    return unresponsive && peer->last_heard != 0 ? UNRESPONSIVE_INTERVAL_US
                                                 : REMOTE_INTERVAL_US;
  /* A new instance that has no configuration, or no responsive peer in its own
     domain yet, sends to all seeds. */
  if ((round->n_local_peers == 0
       || (round->state->config_version == 0
           && gossip_is_starting (gossip, now)))
      && is_seed (gossip, peer->ip))
    return REMOTE_INTERVAL_US;
  if (peer->domain[0] == '\0' && is_seed (gossip, peer->ip))
    return UNRESPONSIVE_INTERVAL_US;
  if (!unresponsive && peer->wants_reply)
    return LEADER_INTERVAL_US;
  if (round->is_leader
      && gossip_domain_leader (gossip, peer->domain, now) == peer)
    return LEADER_INTERVAL_US;
  return 0;
}

/* Sends a message to each peer to which one is due, by calling SEND, and
   removes peers without a sign of life.  */
void
gossip_tick (struct gossip *gossip, const struct gossip_local_state *state,
             struct registry *registry,
             struct server_load_table *server_load_table, gint64 now,
             gossip_send_fn send, void *ctx)
{
  struct gossip_round round
      = { .state = state,
          .registry = registry,
          .server_load_table = server_load_table,
          .now = now,
          .full_mesh = gossip_is_full_mesh (gossip, now),
          .is_leader = gossip_domain_rank (gossip, now) == 0,
          .n_local_peers = gossip_local_peer_count (gossip, now),
          .send = send,
          .ctx = ctx };
  GHashTableIter iter;
  gpointer value;
  gossip->state = *state;
  if (state->duty_fence != 0)
    gossip_note_duty (gossip, &(struct gossip_duty){ .fence = state->duty_fence,
                                                     .ip = gossip->ip,
                                                     .held_at = now });
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    round.n_contenders += gossip_is_contender (gossip, value, now);
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;
      if (now < peer->next_send)
        continue;
      if (!gossip_is_recent (peer, now, PEER_REMOVE_AFTER_US)
          && !is_seed (gossip, peer->ip))
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      gint64 wait = send_interval (gossip, peer, &round);
      peer->next_send = now + (wait ? wait : UNRESPONSIVE_INTERVAL_US);
      if (wait == 0)
        continue;
      send_to (gossip, peer, &round);
      if (!gossip_is_unresponsive (peer, now)
          && gossip_has_more_placements (gossip, peer, &round))
        peer->next_send = MIN (peer->next_send, now + LOCAL_INTERVAL_MIN_US);
    }
}
