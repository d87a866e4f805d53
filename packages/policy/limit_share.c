#include "policy/limit_share.h"

#include "base/hash.h"

#include <math.h>
#include <string.h>

/* Addresses this load pattern: many instances before a server that takes so few
   requests that none has a whole one to itself each second. Time is divided
   into slots, in each of which the server takes one request or a few. A slot
   belongs to one instance, which all find by rendezvous hashing, without a
   message. What an instance does not send in its slot is lost, so the sum holds
   whichever instances are killed or resume. Instances that disagree for a while
   about who is there disagree only about the slots of those.  */

/* Slots are as long as it takes until the server takes a request, rounded up to
   a power of two of SLOT_MIN_US: a limit that changes a little leaves the slots
   as they are, and of two lengths the longer slots consist of the shorter.  */
#define SLOT_MIN_US (CLK_S / 16)
#define SLOT_MAX_US (64 * CLK_S)
/* A limit below one request in the longest slot is taken for that, so that it
   is noticed when it ends.  */
#define PER_S_MIN ((double)CLK_S / SLOT_MAX_US)
/* Time from the start of a slot for which what it allows may be sent, if the
   slot is not longer: short slots end before a request arrives.  */
#define GRANT_US (CLK_S / 2)
/* One slot in so many may belong to any instance. The others belong to those
   from which most of the server's requests come: those of its failure domain,
   and of domains without servers of the service.  */
#define SHARED_SLOT_EVERY 8
/* Requests a second for each instance from which on a limit is split evenly:
   all slots are of all instances, and allow each its part.  */
#define EVEN_SHARE_PER_S 4
/* Slots over which a fraction of a request is distributed.  */
#define FRACTION_SLOTS 64
#define SEARCH_SLOTS 64 /* in which the next own slot is looked for */

/* Returns the length of the slots for a rate, in microseconds.  */
static gint64
slot_length (double per_s)
{
  gint64 us = SLOT_MIN_US;
  while (us < SLOT_MAX_US && (double)us * per_s < CLK_S)
    us *= 2;
  return us;
}

/* Returns whether each instance has an even part in every slot.  */
static gboolean
is_split (const struct limit_query *query)
{
  return query->members->n > 0
         && query->per_s >= (double)EVEN_SHARE_PER_S * query->members->n;
}

/* Returns the requests a second that the slots allow to the instance to which
   they belong.  */
static double
slots_per_s (const struct limit_query *query)
{
  return is_split (query) ? query->per_s / query->members->n
                          : MAX (query->per_s, PER_S_MIN);
}

/* Returns the time that determines the slots. Those of a limit that is split
   begin at different times at the instances.  */
static gint64
slot_time (const struct limit_query *query)
{
  guint64 phase = hash_mix_bits (query->server_key ^ query->members->self);
  return query->shared_now + (is_split (query) ? (gint64)(phase % CLK_S) : 0);
}

/* Returns how many requests SLOT allows.  */
static guint
slot_requests (const struct limit_query *query, gint64 slot_us, gint64 slot)
{
  double each = slots_per_s (query) * (double)slot_us / CLK_S;
  double number = (double)(slot % FRACTION_SLOTS);
  return (guint)(floor ((number + 1) * each) - floor (number * each));
}

/* Adds the domain with hash KEY, unless DOMAINS has it or is full.  */
void
limit_domains_add (struct limit_domains *domains, guint64 key)
{
  for (guint i = 0; i < domains->n; i++)
    if (domains->keys[i] == key)
      return;
  if (domains->n == LIMIT_SHARE_DOMAINS)
    return;
  domains->keys[domains->n++] = key;
  domains->version += hash_mix_bits (key);
}

/* Returns whether most requests of MEMBER go to the servers of this one's
   domain, or it has none of its own.  */
static gboolean
is_local (const struct limit_query *query, const struct limit_member *member)
{
  if (member->domain_key == query->domain_key)
    return TRUE;
  for (guint i = 0; i < query->domains->n; i++)
    if (query->domains->keys[i] == member->domain_key)
      return FALSE;
  return TRUE;
}

/* Returns how many instances share the slots that do not belong to any.  */
guint
limit_share_count_local (const struct limit_query *query)
{
  guint n = 0;
  for (guint i = 0; i < query->members->n; i++)
    n += is_local (query, &query->members->members[i]);
  return n;
}

/* Returns the requests a second that this instance may send on average.  */
static double
own_per_s (const struct limit_query *query, guint n_local)
{
  const struct limit_members *members = query->members;
  double per_s = slots_per_s (query);
  gboolean local = FALSE;
  if (members->n == 0)
    return 0;
  if (is_split (query))
    return per_s;
  if (n_local == 0)
    return per_s / members->n;
  for (guint i = 0; i < members->n; i++)
    local |= members->members[i].hash == members->self
             && is_local (query, &members->members[i]);
  double shared = per_s / SHARED_SLOT_EVERY;
  return shared / members->n + (local ? (per_s - shared) / n_local : 0);
}

/* Returns whether the slot or place number SLOT of a server belongs to this
   instance, if the limit is not split evenly. N_LOCAL is what
   limit_share_count_local returns.  */
gboolean
limit_share_owns (const struct limit_query *query, guint n_local, gint64 slot)
{
  const struct limit_members *members = query->members;
  guint64 seed
      = hash_mix_bits (query->server_key ^ hash_mix_bits ((guint64)slot));
  gboolean any = n_local == 0 || seed % SHARED_SLOT_EVERY == 0;
  guint64 own = hash_mix_bits (seed ^ members->self);
  gboolean eligible = FALSE;
  for (guint i = 0; i < members->n; i++)
    {
      const struct limit_member *member = &members->members[i];
      if (!any && !is_local (query, member))
        continue;
      if (member->hash == members->self)
        eligible = TRUE;
      else if (hash_mix_bits (seed ^ member->hash) < own)
        return FALSE;
    }
  return eligible;
}

/* Looks for the next own slot, from FROM on.  */
static void
find_next (struct limit_share *share, const struct limit_query *query,
           gint64 from)
{
  share->next = from;
  share->is_next_own = FALSE;
  for (guint i = 0; i < SEARCH_SLOTS && !share->is_next_own; i++)
    {
      share->next = from + i;
      share->is_next_own
          = slot_requests (query, share->slot_us, share->next) > 0
            && (is_split (query)
                || limit_share_owns (query, share->n_local, share->next));
    }
  if (!share->is_next_own)
    share->next = from + SEARCH_SLOTS;
}

/* Adapts SHARE to a limit or members that have changed, and to a clock that was
   set back. The present slot may have been used under the former ones, so what
   is new begins after it.  */
static void
adapt (struct limit_share *share, const struct limit_query *query)
{
  gint64 now = slot_time (query);
  guint64 version = query->members->version + query->domains->version;
  gint64 slot_us = slot_length (slots_per_s (query));
  gboolean is_new = share->slot_us == 0;
  gboolean set_back
      = !is_new && share->next > now / share->slot_us + 2 * SEARCH_SLOTS;
  if (!is_new && !set_back && share->per_s == query->per_s
      && share->version == version)
    return;
  if (is_new || set_back || slot_us != share->slot_us)
    memset (share->grants, 0, sizeof share->grants);
  share->per_s = query->per_s;
  share->version = version;
  share->slot_us = slot_us;
  share->n_local = limit_share_count_local (query);
  share->own_per_s = own_per_s (query, share->n_local);
  find_next (share, query, now / slot_us + 1);
}

/* Takes up what the slots that have begun allow this instance.  */
static void
advance (struct limit_share *share, const struct limit_query *query)
{
  gint64 now = slot_time (query);
  adapt (share, query);
  gint64 slot = now / share->slot_us;
  gint64 oldest = slot - (LIMIT_SHARE_GRANTS - 1);
  while (share->next <= slot)
    {
      if (share->is_next_own)
        share->grants[share->next % LIMIT_SHARE_GRANTS] = (struct limit_grant){
          .slot = share->next,
          .left = slot_requests (query, share->slot_us, share->next)
        };
      find_next (share, query, MAX (share->next + share->is_next_own, oldest));
    }
}

/* Returns the oldest grant that may be used now, or NULL.  */
static struct limit_grant *
usable_grant (struct limit_share *share, const struct limit_query *query)
{
  struct limit_grant *found = NULL;
  gint64 now = slot_time (query);
  gint64 life = MAX (share->slot_us, GRANT_US);
  for (guint i = 0; i < LIMIT_SHARE_GRANTS; i++)
    {
      struct limit_grant *grant = &share->grants[i];
      gint64 age = now - grant->slot * share->slot_us;
      if (grant->left > 0 && age >= 0 && age < life
          && (found == NULL || grant->slot < found->slot))
        found = grant;
    }
  return found;
}

/* Returns the time until this instance may send a request to the server, in
   microseconds; 0: now. If it is not known, the result is a lower bound.  */
gint64
limit_share_wait (struct limit_share *share, const struct limit_query *query)
{
  advance (share, query);
  if (usable_grant (share, query) != NULL)
    return 0;
  return MAX (share->next * share->slot_us - slot_time (query), 1);
}

/* Records that a request is being sent to the server.  */
void
limit_share_spend (struct limit_share *share, const struct limit_query *query)
{
  advance (share, query);
  struct limit_grant *grant = usable_grant (share, query);
  if (grant != NULL)
    grant->left--;
}
