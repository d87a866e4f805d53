#include "peer/gossip_internal.h"

/* What messages to peers contain.  */

/* Between two rounds of forwarding the load of other domains to a peer.  */
#define SUMMARY_INTERVAL_US (500 * CLK_MS)

/* Placements of other instances that a leader forwards in one message. Those
   beyond them wait for the next one, and the oldest are dropped: what a leader
   sends to its domain does not grow with the placements of the fleet.  */
#define FORWARDED_PLACEMENTS_MAX 48

/* Load of a server from which on other domains are told of it: tokens of
   pending prefill, or one in so many of its slots. */
#define SUMMARY_PREFILL_MIN 500
#define SUMMARY_SLOTS_SHARE 16

/* If not all instances fit into one message, one in so many messages to a peer
   of the own domain lists members.  */
#define MEMBER_LIST_EVERY 8

/* Returns whether PEER belongs in the member list of a message to TO.  */
static gboolean
is_listable (const struct peer *peer, const struct peer *to, gint64 now)
{
  return peer != to && peer->domain[0] != '\0'
         && gossip_is_recent (peer, now, MEMBER_LIST_AGE_US);
}

static void
append_member (struct gossip_message *message, const struct peer *peer,
               gint64 now)
{
  struct gossip_message_member *member
      = &message->members[message->n_members++];
  member->ip = peer->ip;
  member->age_ms
      = (guint)((now - MAX (peer->last_heard, peer->last_reported)) / CLK_MS);
  g_strlcpy (member->domain, peer->domain, sizeof member->domain);
}

/* Adds a list of members to a message to TO. If not all fit into one message,
   every fourth list, and the first one, holds instances of the domain of TO
   only; the others rotate through all instances.  */
static void
add_members (const struct gossip *gossip, const struct peer *to,
             struct gossip_message *message, gint64 now)
{
  guint n = g_hash_table_size (gossip->peers);
  guint every = gossip_is_local_peer (gossip, to) ? MEMBER_LIST_EVERY : 1;
  guint list_number = to->seq / every;
  gboolean list_all = n <= GOSSIP_MESSAGE_MEMBERS_MAX;
  gboolean same_domain_only = !list_all && list_number % 4 == 0;
  if (!list_all && to->seq % every != 1 % every)
    return;
  GList *peers = g_hash_table_get_values (gossip->peers);
  for (guint i = 0; i < n && message->n_members < GOSSIP_MESSAGE_MEMBERS_MAX;
       i++)
    {
      guint index
          = list_all ? i : (i + list_number * GOSSIP_MESSAGE_MEMBERS_MAX) % n;
      const struct peer *peer = g_list_nth_data (peers, index);
      if (is_listable (peer, to, now)
          && (!same_domain_only || g_str_equal (peer->domain, to->domain)))
        append_member (message, peer, now);
    }
  g_list_free (peers);
}

static void
set_load (struct load_changes *changes, const struct registry_server *server,
          const struct server_load *load, gint64 now)
{
  const struct gossip_message_load message_load
      = { .server_key = gossip_server_key (server), .load = *load };
  load_changes_set (changes, &message_load, now);
}

/* Adds what has changed of the load that this instance itself has at each
   server since PEER confirmed it.  */
static void
add_loads (struct gossip *gossip, const struct peer *to,
           struct gossip_message *message, struct registry *registry,
           struct server_load_table *server_load_table, gint64 now)
{
  guint n;
  struct registry_server *const *servers = registry_servers (registry, &n);
  if (gossip->own_loads_at != now)
    {
      load_changes_begin (gossip->own_loads);
      for (guint i = 0; i < n; i++)
        {
          const struct server_load *own
              = server_load_own (server_load_table, servers[i]->number);
          if (own->requests > 0)
            set_load (gossip->own_loads, servers[i], own, now);
        }
      load_changes_end (gossip->own_loads, now);
      gossip->own_loads_at = now;
    }
  message->n_loads = load_changes_since (gossip->own_loads, to->loads_confirmed,
                                         message->loads, &message->loads_range);
}

static void
add_unreachable (struct gossip_message *message, struct registry *registry,
                 gint64 now)
{
  guint n;
  struct registry_server *const *servers = registry_servers (registry, &n);
  for (guint i = 0;
       i < n && message->n_unreachable < GOSSIP_MESSAGE_UNREACHABLE_MAX; i++)
    if (registry_is_unreachable (servers[i], now))
      message->unreachable[message->n_unreachable++]
          = gossip_server_key (servers[i]);
}

/* Returns whether messages tell that SERVER is leaving. A leader forwards what
   peers have told it, so that it reaches the other domains and comes from them;
   other instances tell what the server has said to them.  */
static gboolean
is_told_leaving (const struct registry_server *server, gboolean is_leader)
{
  return server->said_leaving_at != 0
         || (is_leader && server->peer_said_leaving);
}

/* Adds the servers that have said that they are leaving. If not all fit into
   one message, the messages to PEER rotate through them.  */
static void
add_leaving (struct gossip_message *message, struct registry *registry,
             const struct peer *peer, gboolean is_leader)
{
  guint n;
  guint n_leaving = 0;
  struct registry_server *const *servers = registry_servers (registry, &n);
  for (guint i = 0; i < n; i++)
    n_leaving += is_told_leaving (servers[i], is_leader);
  guint skip = n_leaving > GOSSIP_MESSAGE_LEAVING_MAX
                   ? peer->seq
                         % ((n_leaving - 1) / GOSSIP_MESSAGE_LEAVING_MAX + 1)
                         * GOSSIP_MESSAGE_LEAVING_MAX
                   : 0;
  for (guint i = 0; i < n && message->n_leaving < GOSSIP_MESSAGE_LEAVING_MAX;
       i++)
    {
      if (!is_told_leaving (servers[i], is_leader))
        continue;
      if (skip > 0)
        skip--;
      else
        message->leaving[message->n_leaving++] = gossip_server_key (servers[i]);
    }
}

/* Returns whether another domain would place requests differently if it knew
   LOAD. A few requests that only generate tokens make no difference at an
   engine, and most servers of a large fleet have no more.  */
static gboolean
is_significant (const struct server_load *load,
                const struct registry_server *server)
{
  return load->sensitive > 0 || load->prefill_tokens >= SUMMARY_PREFILL_MIN
         || load->requests * SUMMARY_SLOTS_SHARE >= server->entry.slots;
}

/* Adds to a message to TO what has changed of the load of DOMAIN since TO
   confirmed it.  */
static void
add_summary (const struct load_changes *changes, const char *domain,
             const struct peer *to, struct gossip_message *message)
{
  struct gossip_message_summary *summary
      = &message->summaries[message->n_summaries++];
  guint64 held = 0;
  for (guint i = 0; i < to->summaries_confirmed->len; i++)
    {
      const struct gossip_message_held *confirmed = &g_array_index (
          to->summaries_confirmed, struct gossip_message_held, i);
      if (g_str_equal (confirmed->domain, domain))
        held = confirmed->through;
    }
  g_strlcpy (summary->domain, domain, sizeof summary->domain);
  summary->n
      = load_changes_since (changes, held, summary->loads, &summary->range);
}

/* Adds the total load that the instances of this domain have at each server,
   where it is significant.  */
static void
add_own_summary (struct gossip *gossip, const struct peer *to,
                 struct gossip_message *message, struct registry *registry,
                 struct server_load_table *server_load_table, gint64 now)
{
  guint n;
  struct registry_server *const *servers = registry_servers (registry, &n);
  if (gossip->own_summary_at != now)
    {
      load_changes_begin (gossip->own_summary);
      for (guint i = 0; i < n; i++)
        {
          struct server_load load
              = server_load_direct (server_load_table, servers[i]->number);
          if (load.requests > 0 && is_significant (&load, servers[i]))
            set_load (gossip->own_summary, servers[i], &load, now);
        }
      load_changes_end (gossip->own_summary, now);
      gossip->own_summary_at = now;
    }
  add_summary (gossip->own_summary, gossip->domain.s, to, message);
}

/* Adds the load of other domains as their leaders sent it, unless it is out of
   date or was sent to this peer earlier in the same round.  */
static void
add_other_summaries (const struct gossip *gossip, const struct peer *to,
                     struct gossip_message *message, gint64 now)
{
  guint skip = to->n_summaries_sent;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->summaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct summary *summary = value;
      if (!summary->is_direct
          || now - summary->last_heard > UNRESPONSIVE_AFTER_US
          || message->n_summaries == GOSSIP_MESSAGE_SUMMARIES_MAX)
        continue;
      if (skip > 0)
        skip--;
      else
        add_summary (summary->changes, summary->domain, to, message);
    }
}

/* Tells TO which changes of its loads and summaries are held here.  */
static void
add_held (const struct gossip *gossip, const struct peer *to,
          struct gossip_message *message)
{
  GHashTableIter iter;
  gpointer value;
  message->loads_held = to->loads_held;
  g_hash_table_iter_init (&iter, gossip->summaries);
  while (message->n_held < GOSSIP_MESSAGE_HELD_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct summary *summary = value;
      if (summary->source != to->ip || summary->held == 0)
        continue;
      struct gossip_message_held *held = &message->held[message->n_held++];
      g_strlcpy (held->domain, summary->domain, sizeof held->domain);
      held->through = summary->held;
    }
}

/* Marks the last N placements of a message to TO as not sent. ADDED has the
   number of placements by ring, in the order in which they were added.  */
static void
put_back_placements (struct peer *to, guint n, const guint *added)
{
  for (guint i = RING_N; i-- > 0;)
    {
      guint part = MIN (n, added[i]);
      to->n_placements_sent[i] -= part;
      n -= part;
    }
}

/* Encodes the message. If it exceeds GOSSIP_MESSAGE_BYTES_MAX, above which
   receivers reject it, leaves out summaries of other domains first, and then
   placements. Both follow in the next message.  */
void
gossip_encode_within_limit (struct gossip *gossip, struct peer *to, gint64 now)
{
  struct gossip_message *message = &gossip->scratch_message;
  guint n_placements = message->n_placements;
  guint n_all = message->n_summaries;
  guint n_own = n_all > 0
                && g_str_equal (message->summaries[0].domain, gossip->domain.s);
  for (;;)
    {
      g_byte_array_set_size (gossip->scratch_bytes, 0);
      gossip_message_encode (message, gossip->scratch_bytes);
      if (gossip->scratch_bytes->len <= GOSSIP_MESSAGE_BYTES_MAX
          || (message->n_summaries == n_own && message->n_placements == 0))
        break;
      if (message->n_summaries > n_own)
        message->n_summaries--;
      else
        message->n_placements /= 2;
      message->n_own_placements
          = MIN (message->n_own_placements, message->n_placements);
      message->n_home_placements
          = MIN (message->n_home_placements, message->n_placements);
    }
  put_back_placements (to, n_placements - message->n_placements,
                       gossip->scratch_added);
  if (n_all == n_own)
    return;
  to->n_summaries_sent += message->n_summaries;
  if (message->n_summaries < n_all)
    return;
  to->n_summaries_sent = 0;
  to->summaries_sent_at = now;
}

/* Adds the placements of ring ID that were not yet sent to TO, MAX at most.  */
static void
add_placements (struct gossip *gossip, struct peer *to, enum ring_id id,
                guint max, struct gossip_message *message)
{
  const struct placement_ring *placement_ring = &gossip->placement_rings[id];
  guint64 from = to->n_placements_sent[id];
  guint n_before = message->n_placements;
  guint n_max = MIN (n_before + max, GOSSIP_MESSAGE_PLACEMENTS_MAX);
  if (placement_ring->n - from > PLACEMENTS_KEPT)
    from = placement_ring->n - PLACEMENTS_KEPT;
  while (from < placement_ring->n && message->n_placements < n_max)
    message->placements[message->n_placements++]
        = placement_ring->placements[from++ % PLACEMENTS_KEPT];
  to->n_placements_sent[id] = from;
  gossip->scratch_added[id] = message->n_placements - n_before;
}

/* Returns whether placements of this instance are left for PEER that did not
   fit into the last message.  */
gboolean
gossip_has_more_placements (const struct gossip *gossip,
                            const struct peer *peer,
                            const struct gossip_round *round)
{
  if (!round->full_mesh && !gossip_is_local_peer (gossip, peer))
    return FALSE;
  for (guint i = RING_HOME; i <= RING_OWN; i++)
    if (peer->n_placements_sent[i] < gossip->placement_rings[i].n)
      return TRUE;
  return FALSE;
}

/* Adds what has changed of the suspected parts since TO confirmed it. To one
   that holds nothing, and from a leader that forwards, everything; otherwise
   each instance tells what it has seen itself.  */
static void
add_suspects (const struct gossip *gossip, struct peer *to,
              struct gossip_message *message, const struct gossip_round *round)
{
  const struct suspects_crash *crashes[GOSSIP_MESSAGE_CRASHES_MAX];
  struct gossip_message_suspects *suspects = &message->suspects;
  guint64 since = to->suspects_confirmed;
  if (gossip->suspects == NULL)
    return;
  if (since == 0)
    to->suspects_full_through = suspects_n_changes (gossip->suspects);
  gboolean all = since < to->suspects_full_through
                 || (round->is_leader && !round->full_mesh);
  suspects->held = to->suspects_held;
  suspects->range.since = since;
  suspects->n_crashes = suspects_changes_since (
      gossip->suspects, since, all, crashes, GOSSIP_MESSAGE_CRASHES_MAX,
      GOSSIP_MESSAGE_CRASH_PARTS_MAX, &suspects->range.through);
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      suspects->crashes[i] = *crashes[i];
      suspects->crashes[i].at = MAX (round->now - crashes[i]->at, 0);
    }
  suspects->n_trials = suspects_trials (gossip->suspects, suspects->trials,
                                        SUSPECTS_TRIALS_MAX, round->now);
}

/* Fills in the lists of a message to PEER. An unresponsive one gets members
   only.  */
void
gossip_add_contents (struct gossip *gossip, struct peer *peer,
                     struct gossip_message *message,
                     const struct gossip_round *round)
{
  add_members (gossip, peer, message, round->now);
  add_held (gossip, peer, message);
  add_suspects (gossip, peer, message, round);
  if (gossip_is_unresponsive (peer, round->now))
    return;
  gossip_add_relays (gossip, peer, message, round);
  gboolean direct = round->full_mesh || gossip_is_local_peer (gossip, peer);
  add_leaving (message, round->registry, peer,
               round->is_leader && !round->full_mesh);
  gossip_add_limits (gossip, peer, message, round);
  if (direct)
    {
      add_loads (gossip, peer, message, round->registry,
                 round->server_load_table, round->now);
      if (!round->state->asks_for_servers)
        add_unreachable (message, round->registry, round->now);
      add_placements (gossip, peer, RING_HOME, GOSSIP_MESSAGE_PLACEMENTS_MAX,
                      message);
      message->n_home_placements = message->n_placements;
      add_placements (gossip, peer, RING_OWN, GOSSIP_MESSAGE_PLACEMENTS_MAX,
                      message);
      message->n_own_placements = message->n_placements;
    }
  else
    {
      add_own_summary (gossip, peer, message, round->registry,
                       round->server_load_table, round->now);
      add_placements (gossip, peer, RING_DOMAIN, FORWARDED_PLACEMENTS_MAX,
                      message);
    }
  if (round->full_mesh || !direct)
    return;
  add_placements (gossip, peer, RING_REMOTE, FORWARDED_PLACEMENTS_MAX, message);
  if (round->is_leader
      && round->now - peer->summaries_sent_at >= SUMMARY_INTERVAL_US)
    add_other_summaries (gossip, peer, message, round->now);
}
