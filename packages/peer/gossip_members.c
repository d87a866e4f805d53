#include "peer/gossip_internal.h"

#include "base/hash.h"

#include <string.h>

/* Which instances there are, and which of them has what duty.  */

#define FULL_MESH_MAX 16 /* instances */

/* Limit for the age of the last sign of life of an instance beyond which it no
   longer counts as a user of shared budgets.  */
#define INSTANCE_COUNT_AGE_US (30 * CLK_S)

/* Time after its start in which an instance may not know most of the others
   yet, and asks the seeds for the configuration.  */
#define STARTING_US (3 * CLK_S)

/* Returns whether this instance has just started.  */
gboolean
gossip_is_starting (const struct gossip *gossip, gint64 now)
{
  return now - gossip->started_at < STARTING_US;
}

/* Returns whether nothing was received from PEER for so long that it may have
   stopped.  */
gboolean
gossip_is_unresponsive (const struct peer *peer, gint64 now)
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
gboolean
gossip_is_recent (const struct peer *peer, gint64 now, gint64 age)
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
    n += gossip_is_recent (value, now, age);
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
    n += !gossip_is_unresponsive (value, now);
  return n;
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
    n += gossip_is_local_peer (gossip, value)
         && !gossip_is_unresponsive (value, now);
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
      rank += !gossip_is_unresponsive (peer, now) && peer->ip < gossip->ip
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
          || !gossip_is_recent (peer, now, UNRESPONSIVE_AFTER_US))
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

/* Returns the recent peer with the lowest address in DOMAIN, or NULL if there
   is none. Peers that were only reported by others count as responsive.  */
const struct peer *
gossip_domain_leader (const struct gossip *gossip, const char *domain,
                      gint64 now)
{
  const struct peer *leader = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (g_str_equal (peer->domain, domain)
          && gossip_is_recent (peer, now, MEMBER_LIST_AGE_US)
          && (peer->last_heard == 0 || !gossip_is_unresponsive (peer, now))
          && (leader == NULL || peer->ip < leader->ip))
        leader = peer;
    }
  return leader;
}

/* Returns whether PEER is one of the own domain that has requests queued.  */
gboolean
gossip_is_contender (const struct gossip *gossip, const struct peer *peer,
                     gint64 now)
{
  return peer->n_waiting > 0 && gossip_is_local_peer (gossip, peer)
         && !gossip_is_unresponsive (peer, now);
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
      if (gossip_is_contender (gossip, peer, now))
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

static void
append_limit_member (GArray *members, guint32 ip, const char *domain)
{
  const struct limit_member member
      = { .hash = gossip_instance_hash (ip),
          .domain_key = str_hash (str_of (domain), 0) };
  g_array_append_val (members, member);
}

/* Fills MEMBERS, of struct limit_member, with the instances that share the
   limits of servers: this one and the recent ones, or none while this one does
   not know the others yet. Returns a number that depends on which they are.  */
guint
gossip_limit_members (const struct gossip *gossip, gint64 now, GArray *members)
{
  guint64 version = 0;
  GHashTableIter iter;
  gpointer value;
  g_array_set_size (members, 0);
  if (gossip_is_starting (gossip, now))
    return 0;
  append_limit_member (members, gossip->ip, gossip->domain.s);
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (peer->domain[0] != '\0'
          && gossip_is_recent (peer, now, INSTANCE_COUNT_AGE_US))
        append_limit_member (members, peer->ip, peer->domain);
    }
  for (guint i = 0; i < members->len; i++)
    {
      const struct limit_member *member
          = &g_array_index (members, struct limit_member, i);
      version += hash_mix_bits (member->hash ^ member->domain_key);
    }
  return (guint)(version ^ (version >> 32));
}

/* The live instance with the lowest address of a domain. */
struct collector
{
  const char *domain;
  guint32 ip;
};

/* Takes the instance at IP into the first MAX domains by name, if it belongs
   there. Returns the new number of domains.  */
static guint
add_collector (struct collector *collectors, guint n, guint max,
               const char *domain, guint32 ip)
{
  guint at = 0;
  while (at < n && strcmp (collectors[at].domain, domain) < 0)
    at++;
  if (at < n && g_str_equal (collectors[at].domain, domain))
    {
      collectors[at].ip = MIN (collectors[at].ip, ip);
      return n;
    }
  if (at >= max)
    return n;
  n = MIN (n + 1, max);
  memmove (&collectors[at + 1], &collectors[at],
           (n - at - 1) * sizeof *collectors);
  collectors[at] = (struct collector){ domain, ip };
  return n;
}

/* Fills IPS with the live instance of the lowest address in each of the first
   MAX live domains by name; this instance may be one of them. Returns how many
   there are.  */
guint
gossip_collectors (const struct gossip *gossip, gint64 now, guint32 *ips,
                   guint max)
{
  struct collector *collectors = g_newa (struct collector, max);
  guint n = add_collector (collectors, 0, max, gossip->domain.s, gossip->ip);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (peer->domain[0] != '\0'
          && gossip_is_recent (peer, now, MEMBER_LIST_AGE_US)
          && (peer->last_heard == 0 || !gossip_is_unresponsive (peer, now)))
        n = add_collector (collectors, n, max, peer->domain, peer->ip);
    }
  for (guint i = 0; i < n; i++)
    ips[i] = collectors[i].ip;
  return n;
}

/* Fills MEMBERS, of struct gossip_member, with all other instances that are
   known.  */
void
gossip_list_members (const struct gossip *gossip, GArray *members)
{
  GHashTableIter iter;
  gpointer value;
  g_array_set_size (members, 0);
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      const struct gossip_member member
          = { peer->ip, peer->domain,
              MAX (peer->last_heard, peer->last_reported) };
      g_array_append_val (members, member);
    }
}
