/* Which parts the known crashes make suspect, and which of them are held.  */
#include "policy/crash_suspects_internal.h"

#include "base/log.h"

#include <string.h>

/* Held with fewer crashes in a row, if so many servers have ended. */
#define WEIGHT_HELD_MANY 4
#define MANY_SERVERS 5
/* Time until a held part is tried again, for the first time; it doubles with
   each trial. */
#define HOLD_US (60 * CLK_S)
#define HOLD_DOUBLINGS_MAX 6

/* Returns how suspected the part KEY is; NULL: not at all. Valid until the next
   change.  */
const struct suspects_part *
suspects_find_part (const struct suspects *suspects, guint64 key)
{
  return g_hash_table_lookup (suspects->index, &key);
}

guint
suspects_weight_of (const struct suspects *suspects, guint64 key)
{
  const struct suspects_part *part = suspects_find_part (suspects, key);
  return part != NULL ? part->weight : 0;
}

/* Returns whether requests with the part KEY go one at a time.  */
gboolean
suspects_needs_trial (const struct suspects *suspects, guint64 key)
{
  return suspects_weight_of (suspects, key)
         >= (prompt_part_is_request (key) ? 1 : SUSPECTS_WEIGHT_TRIAL);
}

/* Adds a part of CRASH that nothing has cleared to the index.  */
static void
index_part (struct suspects *suspects, const struct suspects_crash *crash,
            guint number)
{
  guint64 key = crash->parts.keys[number];
  guint weight = crash->weights[number];
  struct suspects_part *part = g_hash_table_lookup (suspects->index, &key);
  if (part == NULL)
    {
      part = &suspects->parts[suspects->n_parts++];
      *part = (struct suspects_part){ .key = key };
      g_hash_table_insert (suspects->index, &part->key, part);
    }
  if (weight > part->weight || (weight == part->weight && crash->at > part->at))
    {
      part->weight = weight;
      part->at = crash->at;
      part->own = crash->own;
    }
}

static void
update_index (struct suspects *suspects)
{
  g_hash_table_remove_all (suspects->index);
  suspects->n_parts = 0;
  for (guint i = 0; i < suspects->n_crashes; i++)
    for (guint j = 0; j < suspects->crashes[i].parts.n; j++)
      if (!suspects->crashes[i].cleared[j])
        index_part (suspects, &suspects->crashes[i], j);
}

/* Returns how far a part with KEY and WEIGHT explains a crash, to be compared
   with others of the same request. A fingerprint is the narrowest explanation,
   and the better one once its request has crashed two servers.  */
static guint
explanation_rank (guint64 key, guint weight)
{
  if (weight == 0 || !prompt_part_is_request (key))
    return weight;
  return weight > SUSPECTS_WEIGHT_TRIAL ? SUSPECTS_WEIGHT_MAX + weight
                                        : weight + 1;
}

/* Returns the index of the most suspected of PARTS, and its weight in WEIGHT.
   Of two it is the later one, which fewer requests share. CLEARED: parts to
   leave out, NULL: none.  */
guint
suspects_most_suspected (const struct suspects *suspects,
                         const struct prompt_parts *parts,
                         const gboolean *cleared, guint *weight)
{
  guint index = 0;
  guint most = 0;
  *weight = 0;
  for (guint i = 0; i < parts->n; i++)
    {
      guint of_part = cleared != NULL && cleared[i]
                          ? 0
                          : suspects_weight_of (suspects, parts->keys[i]);
      guint rank = explanation_rank (parts->keys[i], of_part);
      if (rank == 0 || rank < most)
        continue;
      most = rank;
      *weight = of_part;
      index = i;
    }
  return index;
}

/* Returns what the part KEY is, for logs and dumps.  */
const char *
suspects_kind_name (guint64 key)
{
  return prompt_part_is_request (key) ? "request" : "prompt";
}

static gboolean
contains (const guint64 *keys, guint n, guint64 key)
{
  for (guint i = 0; i < n; i++)
    if (keys[i] == key)
      return TRUE;
  return FALSE;
}

void
suspects_log_part (const char *event, guint64 key, guint weight)
{
  log_event (LOG_WARN, event,
             "part=%016" G_GINT64_MODIFIER "x weight=%u kind=%s", key, weight,
             suspects_kind_name (key));
}

/* Returns the highest weight that CRASH gives a part that is not cleared.  */
guint
suspects_highest_weight (const struct suspects_crash *crash)
{
  guint weight = 0;
  for (guint i = 0; i < crash->parts.n; i++)
    if (!crash->cleared[i])
      weight = MAX (weight, crash->weights[i]);
  return weight;
}

/* Returns the part that explains CRASH, its most suspected one; 0: none does,
   or another request on the same server may have crashed it as well: it is as
   suspected or, beside a trial of a request, was a trial too.  */
static guint64
culprit_of (const struct suspects *suspects, const struct suspects_crash *crash,
            guint *weight)
{
  guint part = suspects_most_suspected (suspects, &crash->parts, crash->cleared,
                                        weight);
  if (*weight == 0)
    return 0;
  guint64 key = crash->parts.keys[part];
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      const struct suspects_crash *other = &suspects->crashes[i];
      guint other_weight;
      if (other == crash || other->server != crash->server)
        continue;
      guint other_part = suspects_most_suspected (
          suspects, &other->parts, other->cleared, &other_weight);
      gboolean is_trial = prompt_part_is_request (key)
                          && other_weight >= SUSPECTS_WEIGHT_DANGEROUS;
      if ((other_weight >= *weight || is_trial)
          && other->parts.keys[other_part] != key)
        return 0;
    }
  return key;
}

/* Returns how many servers have ended under the part KEY since it was cleared.
 */
static guint
count_servers (const struct suspects *suspects, guint64 key)
{
  guint64 servers[SUSPECTS_CRASHES_MAX];
  guint n = 0;
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      const struct suspects_crash *crash = &suspects->crashes[i];
      for (guint j = 0; j < crash->parts.n; j++)
        if (crash->parts.keys[j] == key && !crash->cleared[j]
            && !contains (servers, n, crash->server))
          servers[n++] = crash->server;
    }
  return n;
}

/* Returns whether only the part KEY with WEIGHT can explain CRASH: no other
   part of it is as suspected, and no other suspect request was on the server.
 */
static gboolean
explains_alone (const struct suspects *suspects,
                const struct suspects_crash *crash, guint64 key, guint weight)
{
  for (guint i = 0; i < crash->parts.n; i++)
    if (crash->parts.keys[i] != key && !crash->cleared[i]
        && suspects_weight_of (suspects, crash->parts.keys[i]) >= weight)
      return FALSE;
  for (guint i = 0; i < suspects->n_crashes; i++)
    if (&suspects->crashes[i] != crash
        && suspects->crashes[i].server == crash->server)
      return FALSE;
  return TRUE;
}

/* Returns whether KEY, a part with WEIGHT that explains CRASH, is to be held.
 */
static gboolean
is_convicted (const struct suspects *suspects,
              const struct suspects_crash *crash, guint64 key, guint weight)
{
  return weight >= SUSPECTS_WEIGHT_HELD
         || (weight >= WEIGHT_HELD_MANY
             && count_servers (suspects, key) >= MANY_SERVERS
             && explains_alone (suspects, crash, key, weight));
}

/* Determines the held parts anew. The most suspected part of a crash explains
   it; the others are not held for it.  */
static void
update_held (struct suspects *suspects)
{
  guint64 held[SUSPECTS_HELD_MAX];
  guint n = 0;
  for (guint i = 0; i < suspects->n_crashes && n < SUSPECTS_HELD_MAX; i++)
    {
      const struct suspects_crash *crash = &suspects->crashes[i];
      guint weight;
      if (suspects_highest_weight (crash) < WEIGHT_HELD_MANY)
        continue;
      guint64 key = culprit_of (suspects, crash, &weight);
      if (key != 0 && !contains (held, n, key)
          && is_convicted (suspects, crash, key, weight))
        held[n++] = key;
    }
  for (guint i = 0; i < n; i++)
    if (!contains (suspects->held, suspects->n_held, held[i]))
      {
        counter_add (suspects->options.counter_set, COUNTER_PARTS_HELD, 1);
        suspects_log_part ("part.held", held[i],
                           suspects_weight_of (suspects, held[i]));
      }
  for (guint i = 0; i < suspects->n_held; i++)
    if (!contains (held, n, suspects->held[i]))
      suspects_log_part ("part.released", suspects->held[i],
                         suspects_weight_of (suspects, suspects->held[i]));
  memcpy (suspects->held, held, n * sizeof held[0]);
  suspects->n_held = n;
}

/* Peers or waiting requests should know soon of what has changed here, if OWN,
   or what a peer has told.  */
void
suspects_tell (const struct suspects *suspects, gboolean own)
{
  if (suspects->options.changed != NULL)
    suspects->options.changed (suspects->options.ctx, own);
}

/* The crashes or what clears their parts have changed, here if OWN or else at a
   peer.  */
void
suspects_note_changed (struct suspects *suspects, gboolean own)
{
  update_index (suspects);
  update_held (suspects);
  suspects_tell (suspects, own);
}

/* Returns for how long a part of WEIGHT is held before its next trial.  */
gint64
suspects_hold_us (guint weight)
{
  guint doublings = (MAX (weight, SUSPECTS_WEIGHT_HELD) - SUSPECTS_WEIGHT_HELD)
                    / SUSPECTS_WEIGHT_BEGUN;
  return HOLD_US << MIN (doublings, HOLD_DOUBLINGS_MAX);
}

gboolean
suspects_is_held (const struct suspects *suspects, guint64 key)
{
  return contains (suspects->held, suspects->n_held, key);
}

/* Returns which of PARTS is held, the first one, and why.  */
struct suspects_held_evidence
suspects_held_evidence (const struct suspects *suspects,
                        const struct prompt_parts *parts, gint64 now)
{
  for (guint i = 0; i < parts->n; i++)
    {
      const struct suspects_part *part
          = suspects_find_part (suspects, parts->keys[i]);
      if (part != NULL && suspects_is_held (suspects, part->key))
        return (struct suspects_held_evidence){ .part = part->key,
                                                .weight = part->weight,
                                                .age_us = now - part->at };
    }
  return (struct suspects_held_evidence){ .part = 0 };
}

/* Returns the clock time from which on a held part of PARTS may be tried again;
   NOW if none is held.  */
gint64
suspects_held_until (const struct suspects *suspects,
                     const struct prompt_parts *parts, gint64 now)
{
  gint64 until = now;
  for (guint i = 0; i < parts->n; i++)
    {
      guint64 key = parts->keys[i];
      const struct suspects_part *part
          = suspects_is_held (suspects, key)
                ? suspects_find_part (suspects, key)
                : NULL;
      if (part != NULL)
        until = MAX (until, part->at + suspects_hold_us (part->weight));
    }
  return until;
}

/* Returns whether a trial of PARTS is so likely to end its server that it is
   not to be the last one of a service. Too many requests share a part of a
   prompt to wait for another server.  */
gboolean
suspects_takes_last_server (const struct suspects *suspects,
                            const struct prompt_parts *parts)
{
  guint weight;
  guint part = suspects_most_suspected (suspects, parts, NULL, &weight);
  return weight >= SUSPECTS_WEIGHT_DANGEROUS
         && prompt_part_is_request (parts->keys[part]);
}

/* Returns which of PARTS a request is the trial of, 0 if it needs none, and the
   highest weight of a part in WEIGHT. Once it has BEGUN only its fingerprints
   count. All requests that share a fingerprint share the part that is returned:
   the most suspected one of the prompt or, if that needs no trial, the broadest
   fingerprint.  */
guint64
suspects_trial_key (const struct suspects *suspects,
                    const struct prompt_parts *parts, gboolean begun,
                    guint *weight)
{
  gboolean is_prompt[PROMPT_PARTS_MAX] = { FALSE };
  gboolean is_request[PROMPT_PARTS_MAX] = { FALSE };
  guint of_prompt = 0;
  guint part = 0;
  for (guint i = 0; i < parts->n; i++)
    {
      is_request[i] = prompt_part_is_request (parts->keys[i]);
      is_prompt[i] = !is_request[i];
    }
  suspects_most_suspected (suspects, parts, is_prompt, weight);
  if (!begun)
    part = suspects_most_suspected (suspects, parts, is_request, &of_prompt);
  *weight = MAX (*weight, of_prompt);
  if (of_prompt > 0 && suspects_needs_trial (suspects, parts->keys[part]))
    return parts->keys[part];
  for (guint i = 0; i < parts->n; i++)
    if (is_request[i] && suspects_needs_trial (suspects, parts->keys[i]))
      return parts->keys[i];
  return 0;
}
