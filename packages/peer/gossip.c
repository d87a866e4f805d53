#include "peer/gossip_internal.h"

#include <string.h>

/* Up to FULL_MESH_MAX instances all send to each other. In a larger deployment
   each instance sends to the peers of its own failure domain only. The one
   with the lowest address, the leader, also exchanges messages with the
   leaders of the other domains: it sends the total load of its domain and the
   large prompts that were placed there, and forwards what it receives to its
   own domain. The traffic of an instance thus grows with the size of its
   domain and not with the size of the deployment.  */

#define FULL_MESH_MAX 16 /* instances */

/* Between two messages to the same peer of the own domain: the minimum, and
   the interval for each peer in the domain, if that gives more.  */
#define LOCAL_INTERVAL_MIN_US (100 * CLK_MS)
#define LOCAL_INTERVAL_PER_PEER_US (16 * CLK_MS)

/* Between two messages to a peer of another domain: in a full mesh, and
   otherwise, where only leaders and peers that request messages get them.  */
#define REMOTE_INTERVAL_US (250 * CLK_MS)
#define LEADER_INTERVAL_US (500 * CLK_MS)

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

/* One part in so many by which the loads that other domains know may be off. */
#define SUMMARY_TOLERANCE 8

/* Time after its start in which an instance asks the seeds for the
   configuration. */
#define STARTING_US (3 * CLK_S)

/* A peer from which nothing was received for this time is unresponsive and
   gets messages at a lower rate.  */
#define UNRESPONSIVE_AFTER_US (2 * CLK_S)
#define UNRESPONSIVE_INTERVAL_US (1 * CLK_S)

/* Limits for the age of the last sign of life of an instance, received from it
   or reported by others. An instance beyond the first limit is removed, unless
   it is a seed; beyond the second, it no longer counts as a user of shared
   budgets; beyond the third, it is not listed in messages or taken for the
   leader of its domain.  */
#define PEER_REMOVE_AFTER_US (60 * CLK_S)
#define INSTANCE_COUNT_AGE_US (30 * CLK_S)
#define MEMBER_LIST_AGE_US (20 * CLK_S)

/* If not all instances fit into one message, one in so many messages to a peer
   of the own domain lists members.  */
#define MEMBER_LIST_EVERY 8

/* Returns a key that identifies a server in messages. A server that has
   restarted has a new key.  */
guint32
gossip_server_key (const struct registry_server *server)
{
  guint64 hash = str_hash (str_of (server->entry.id),
                           (guint64)server->entry.start_time_ms);
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

static gboolean
is_starting (const struct gossip *gossip, gint64 now)
{
  return now - gossip->started_at < STARTING_US;
}

static gboolean
is_unresponsive (const struct peer *peer, gint64 now)
{
  return peer->last_heard == 0
         || now - peer->last_heard > UNRESPONSIVE_AFTER_US;
}

gboolean
gossip_is_local_peer (const struct gossip *gossip, const struct peer *peer)
{
  return g_str_equal (peer->domain, gossip->domain.s);
}

/* Returns whether PEER was alive within AGE by its own messages or by the
   member lists of others. Of most instances in other domains only the latter is
   available.  */
static gboolean
is_recent (const struct peer *peer, gint64 now, gint64 age)
{
  return now - MAX (peer->last_heard, peer->last_reported) <= age;
}

/* Counts this instance and its recent peers.  */
static guint
count_recent (const struct gossip *gossip, gint64 now, gint64 age)
{
  guint n = 1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += is_recent (value, now, age);
  return n;
}

/* Returns whether there are so few instances that all send to each other.  */
gboolean
gossip_is_full_mesh (const struct gossip *gossip, gint64 now)
{
  return count_recent (gossip, now, INSTANCE_COUNT_AGE_US) <= FULL_MESH_MAX;
}

/* Returns the number of instances among which shared budgets are divided: the
   recent ones, but no fewer than there are seeds.  */
guint
gossip_instance_count (const struct gossip *gossip, gint64 now)
{
  return MAX (count_recent (gossip, now, INSTANCE_COUNT_AGE_US),
              gossip->seeds->len);
}

/* Returns the number of responsive instances, including this one.  */
guint
gossip_alive_count (const struct gossip *gossip, gint64 now)
{
  guint n = 1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += !is_unresponsive (value, now);
  return n;
}

/* Returns the number of responsive instances of this domain with a lower
   address. The instance of rank 0 is the leader, which exchanges messages with
   other domains and takes precedence over the others in reading the store.  */
guint
gossip_domain_rank (const struct gossip *gossip, gint64 now)
{
  guint rank = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      rank += !is_unresponsive (peer, now) && peer->ip < gossip->ip
              && gossip_is_local_peer (gossip, peer);
    }
  return rank;
}

/* Returns the position of this instance in the order in which instances take
   over reading the store: first the leaders by the names of their domains,
   then all others. The designated reader has rank 0.  */
guint
gossip_reader_rank (const struct gossip *gossip, gint64 now)
{
  GHashTable *before = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *others = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;
      if (peer->domain[0] == '\0' || gossip_is_local_peer (gossip, peer)
          || !is_recent (peer, now, UNRESPONSIVE_AFTER_US))
        continue;
      g_hash_table_add (others, peer->domain);
      if (strcmp (peer->domain, gossip->domain.s) < 0)
        g_hash_table_add (before, peer->domain);
    }
  guint own = gossip_domain_rank (gossip, now);
  guint rank = own == 0 ? g_hash_table_size (before)
                        : own + g_hash_table_size (others);
  g_hash_table_unref (before);
  g_hash_table_unref (others);
  return rank;
}

/* Returns whether PEER belongs in the member list of a message to TO.  */
static gboolean
is_listable (const struct peer *peer, const struct peer *to, gint64 now)
{
  return peer != to && peer->domain[0] != '\0'
         && is_recent (peer, now, MEMBER_LIST_AGE_US);
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

/* What is the same for all messages of one call of gossip_tick. */
struct round
{
  const struct gossip_local_state *state;
  struct registry *registry;
  struct server_load_table *server_load_table;
  gint64 now;
  gboolean full_mesh;  /* all instances send to each other */
  gboolean is_leader;  /* this instance is the leader of its domain */
  guint n_local_peers; /* responsive peers of the domain */
  guint n_contenders;  /* those of them that have requests queued */
  gossip_send_fn send;
  void *ctx;
};

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
static void
encode_within_limit (struct gossip *gossip, struct peer *to, gint64 now)
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
static gboolean
has_more_placements (const struct gossip *gossip, const struct peer *peer,
                     const struct round *round)
{
  if (!round->full_mesh && !gossip_is_local_peer (gossip, peer))
    return FALSE;
  for (guint i = RING_HOME; i <= RING_OWN; i++)
    if (peer->n_placements_sent[i] < gossip->placement_rings[i].n)
      return TRUE;
  return FALSE;
}

/* Fills in the lists of a message to PEER. An unresponsive one gets members
   only.  */
static void
add_contents (struct gossip *gossip, struct peer *peer,
              struct gossip_message *message, const struct round *round)
{
  add_members (gossip, peer, message, round->now);
  add_held (gossip, peer, message);
  if (is_unresponsive (peer, round->now))
    return;
  gboolean direct = round->full_mesh || gossip_is_local_peer (gossip, peer);
  add_leaving (message, round->registry, peer,
               round->is_leader && !round->full_mesh);
  if (direct)
    {
      add_loads (gossip, peer, message, round->registry,
                 round->server_load_table, round->now);
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

static void
send_to (struct gossip *gossip, struct peer *peer, const struct round *round)
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
  message->wants_reply
      = round->is_leader || round->n_local_peers == 0
        || (state->config_age_us < 0 && is_starting (gossip, round->now));
  add_contents (gossip, peer, message, round);
  peer->sent_at[message->seq % SENT_TIMES_KEPT] = round->now;
  encode_within_limit (gossip, peer, round->now);
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

/* Returns the recent peer with the lowest address in DOMAIN, or NULL if there
   is none. Peers that were only reported by others count as responsive.  */
static const struct peer *
domain_leader (const struct gossip *gossip, const char *domain, gint64 now)
{
  const struct peer *leader = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (g_str_equal (peer->domain, domain)
          && is_recent (peer, now, MEMBER_LIST_AGE_US)
          && (peer->last_heard == 0 || !is_unresponsive (peer, now))
          && (leader == NULL || peer->ip < leader->ip))
        leader = peer;
    }
  return leader;
}

/* Returns the interval between messages to each of N peers of the own domain.
 */
static gint64
interval_among (guint n)
{
  return MAX (LOCAL_INTERVAL_MIN_US, LOCAL_INTERVAL_PER_PEER_US * (gint64)n);
}

static gboolean
is_contender (const struct gossip *gossip, const struct peer *peer, gint64 now)
{
  return peer->n_waiting > 0 && gossip_is_local_peer (gossip, peer)
         && !is_unresponsive (peer, now);
}

/* Fills CONTENDERS with the peers of the own domain that have requests queued.
   Returns how many there are, MAX at most.  */
guint
gossip_contenders (const struct gossip *gossip, gint64 now,
                   struct placement_contender *contenders, guint max)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (is_contender (gossip, peer, now))
        contenders[n++] = (struct placement_contender){
          .hash = gossip_instance_hash (peer->ip), .n_waiting = peer->n_waiting
        };
    }
  return n;
}

/* Returns a hash of the instance at IP that is the same at all instances.  */
guint64
gossip_instance_hash (guint32 ip)
{
  return str_hash ((struct str){ (const char *)&ip, sizeof ip }, 0);
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
               const struct round *round)
{
  gint64 now = round->now;
  gboolean unresponsive = is_unresponsive (peer, now);
  if (gossip_is_local_peer (gossip, peer))
    {
      if (unresponsive)
        return UNRESPONSIVE_INTERVAL_US;
      /* Contenders take turns at the engines, so each needs to know soon what
         the others have sent. */
      return interval_among (round->state->n_waiting > 0
                                     && is_contender (gossip, peer, now)
                                 ? round->n_contenders
                                 : round->n_local_peers);
    }
  if (round->full_mesh)
    return unresponsive && peer->last_heard != 0 ? UNRESPONSIVE_INTERVAL_US
                                                 : REMOTE_INTERVAL_US;
  /* A new instance that has no configuration, or no responsive peer in its own
     domain yet, sends to all seeds. */
  if ((round->n_local_peers == 0
       || (round->state->config_version == 0 && is_starting (gossip, now)))
      && is_seed (gossip, peer->ip))
    return REMOTE_INTERVAL_US;
  if (peer->domain[0] == '\0' && is_seed (gossip, peer->ip))
    return UNRESPONSIVE_INTERVAL_US;
  if (!unresponsive && peer->wants_reply)
    return LEADER_INTERVAL_US;
  if (round->is_leader && domain_leader (gossip, peer->domain, now) == peer)
    return LEADER_INTERVAL_US;
  return 0;
}

/* Returns the number of responsive peers in the own domain.  */
guint
gossip_local_peer_count (const struct gossip *gossip, gint64 now)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += gossip_is_local_peer (gossip, value) && !is_unresponsive (value, now);
  return n;
}

/* Sends a message to each peer to which one is due, by calling SEND, and
   removes peers without a sign of life.  */
void
gossip_tick (struct gossip *gossip, const struct gossip_local_state *state,
             struct registry *registry,
             struct server_load_table *server_load_table, gint64 now,
             gossip_send_fn send, void *ctx)
{
  struct round round = { .state = state,
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
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    round.n_contenders += is_contender (gossip, value, now);
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;
      if (now < peer->next_send)
        continue;
      if (!is_recent (peer, now, PEER_REMOVE_AFTER_US)
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
      if (!is_unresponsive (peer, now)
          && has_more_placements (gossip, peer, &round))
        peer->next_send = MIN (peer->next_send, now + LOCAL_INTERVAL_MIN_US);
    }
}
