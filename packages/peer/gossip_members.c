#include "peer/gossip_internal.h"

#include "base/hash.h"

#include <string.h>

/* Which instances there are, and which of them has what duty.  */

#define FULL_MESH_MAX 16 /* instances */

/* Limit for the age of the last sign of life of an instance beyond which it no
   longer counts as a user of shared budgets.  */
#define INSTANCE_COUNT_AGE_US (30 * CLK_S)

/* Between the messages of a peer that sends to all others, at most. */
#define HEARD_US (1 * CLK_S)

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

/* Returns whether this instance is in touch with most of the others: signs of
   life of more than half of all instances have reached it lately.  */
gboolean
gossip_hears_most (const struct gossip *gossip, gint64 now)
{
  gint64 age
      = gossip_is_full_mesh (gossip, now) ? HEARD_US : UNRESPONSIVE_AFTER_US;
  return 2 * count_recent (gossip, now, age)
         > count_recent (gossip, now, INSTANCE_COUNT_AGE_US);
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

/* Adds what is known of the holder of the duties' lease to MESSAGE.  */
void
gossip_add_duty (const struct gossip *gossip, struct gossip_message *message,
                 gint64 now)
{
  const struct gossip_duty *duty = &gossip->duty;
  message->duty_fence = duty->fence;
  message->duty_ip = duty->ip;
  if (duty->held_at != 0)
    message->duty_age
        = 1 + (guint)CLAMP ((now - duty->held_at) / CLK_MS, 0, G_MAXINT32 - 1);
}

/* Takes over DUTY if it is of a later holder, or later of the same one.  */
void
gossip_note_duty (struct gossip *gossip, const struct gossip_duty *duty)
{
  if (duty->fence > gossip->duty.fence)
    gossip->duty = *duty;
  else if (duty->fence == gossip->duty.fence && duty->ip == gossip->duty.ip)
    gossip->duty.held_at = MAX (gossip->duty.held_at, duty->held_at);
}

struct gossip_duty
gossip_duty (const struct gossip *gossip)
{
  return gossip->duty;
}

/* A domain and its live instance with the lowest address.  */
struct domain_first
{
  const char *domain; /* borrowed */
  guint32 ip;
};

/* Enters the instance at IP of DOMAIN into FIRSTS, which has the first domains
   by name, in this order. Returns how many there are.  */
static guint
enter_domain (struct domain_first *firsts, guint n, const char *domain,
              guint32 ip)
{
  guint at = 0;
  while (at < n && strcmp (firsts[at].domain, domain) < 0)
    at++;
  if (at < n && g_str_equal (firsts[at].domain, domain))
    {
      firsts[at].ip = MIN (firsts[at].ip, ip);
      return n;
    }
  if (at == GOSSIP_DUTY_CANDIDATES)
    return n;
  guint moved = MIN (n, GOSSIP_DUTY_CANDIDATES - 1) - at;
  memmove (&firsts[at + 1], &firsts[at], moved * sizeof *firsts);
  firsts[at] = (struct domain_first){ domain, ip };
  return MIN (n + 1, GOSSIP_DUTY_CANDIDATES);
}

/* Fills IPS with the candidates for the duties' lease, in their order: the
   first live instance of each of the first live domains by name. Leaders hear
   each other and soon notice that a whole domain has failed; the others have to
   go by the lists of members, which may be as old as these get.  */
static guint
candidates (const struct gossip *gossip, gint64 now, guint32 *ips)
{
  struct domain_first firsts[GOSSIP_DUTY_CANDIDATES];
  gboolean hears_all = gossip_is_full_mesh (gossip, now)
                       || gossip_domain_rank (gossip, now) == 0;
  gint64 age = hears_all ? UNRESPONSIVE_AFTER_US : MEMBER_LIST_AGE_US;
  guint n = enter_domain (firsts, 0, gossip->domain.s, gossip->ip);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, gossip->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      gboolean is_local = gossip_is_local_peer (gossip, peer);
      if (peer->domain[0] != '\0'
          && (is_local ? !gossip_is_unresponsive (peer, now)
                       : gossip_is_recent (peer, now, age)))
        n = enter_domain (firsts, n, peer->domain, peer->ip);
    }
  for (guint i = 0; i < n; i++)
    ips[i] = firsts[i].ip;
  return n;
}

/* Fills IPS with the instances that collect usage, without duplicates and in
   this order: the holder of the duties' lease, if it was known to hold it
   within the last term, and the candidates. This instance may be one of them.
   Returns how many there are, MAX at most.  */
guint
gossip_collectors (const struct gossip *gossip, gint64 now, guint32 *ips,
                   guint max)
{
  const struct gossip_duty *duty = &gossip->duty;
  guint32 found[GOSSIP_DUTY_CANDIDATES];
  guint n_found = candidates (gossip, now, found);
  guint n = 0;
  if (n < max && duty->held_at != 0
      && now - duty->held_at < gossip->duty_term_us)
    ips[n++] = duty->ip;
  for (guint i = 0; i < n_found && n < max; i++)
    if (n == 0 || found[i] != ips[0])
      ips[n++] = found[i];
  return n;
}

/* Returns whether it is this instance's turn to acquire the duties' lease: it
   is a candidate, and no holder was heard of for a term and, for each candidate
   before it, GOSSIP_DUTY_TURN_US.  */
gboolean
gossip_duty_is_due (const struct gossip *gossip, gint64 now)
{
  guint32 found[GOSSIP_DUTY_CANDIDATES];
  gint64 since = MAX (gossip->duty.held_at, gossip->started_at);
  if (gossip->duty_term_us == 0 || now - since < gossip->duty_term_us)
    return FALSE;
  guint n = candidates (gossip, now, found);
  for (guint i = 0; i < n; i++)
    if (found[i] == gossip->ip)
      return now - since >= gossip->duty_term_us + i * GOSSIP_DUTY_TURN_US;
  return FALSE;
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
