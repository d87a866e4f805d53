#include "policy/crash_suspects_internal.h"

#include "base/json_add.h"
#include "base/log.h"

#include <string.h>

/* Addresses these load patterns: requests, no two alike, with one part in their
   prompts that ends each server which begins to write on it; and one request
   that ends each server which begins to run it, sent again and again under new
   ids. Each attempt, and each return of a client, takes it to a server that is
   still up, until few are left.  */

/* Weight of a crash under an attempt that a server had begun to write on, and
   of one that may only have waited there. */
#define WEIGHT_BEGUN 2
#define WEIGHT_WAITED 1
#define WEIGHT_MAX 255
#define WEIGHT_HELD 5 /* from here on requests are rejected */
/* The same with fewer crashes in a row, if so many servers have ended. */
#define WEIGHT_HELD_MANY 4
#define MANY_SERVERS 5
#define SAME_CRASHES_MAX 12 /* kept of those under the same parts */
/* From here on a request is tried only where the service keeps a server. */
#define WEIGHT_DANGEROUS 4
/* A check of a server that finds out anything takes no longer; then the server
   counts as alive. */
#define BROKEN_KEPT_US (1 * CLK_S)
/* Until it is listed that a server has ended which seemed to run, or while no
   server could be reached. */
#define END_LISTED_US (6 * CLK_S)
#define CRASH_KEPT_US (120 * CLK_S)
/* Time until a held part is tried again, for the first time; it doubles with
   each trial. */
#define HOLD_US (60 * CLK_S)
#define HOLD_DOUBLINGS_MAX 6
/* A crash is kept for so many times the hold, in case the instance that is to
   try the part is gone. */
#define HOLDS_KEPT 4

static const char *const evidence_names[] = {
#define SUSPECTS_NAME(id, name) name,
  SUSPECTS_EVIDENCE (SUSPECTS_NAME)
#undef SUSPECTS_NAME
};

struct suspects *
suspects_new (const struct suspects_options *options)
{
  struct suspects *suspects = g_new0 (struct suspects, 1);
  suspects->options = *options;
  suspects->last_crash_at = G_MININT64 / 2;
  suspects->rand = g_rand_new_with_seed (options->seed);
  g_queue_init (&suspects->attempts);
  suspects->index = g_hash_table_new (g_int64_hash, g_int64_equal);
  suspects_trials_init (suspects);
  return suspects;
}

void
suspects_free (struct suspects *suspects)
{
  if (suspects == NULL)
    return;
  suspects_trials_free (suspects);
  g_hash_table_unref (suspects->index);
  g_rand_free (suspects->rand);
  g_free (suspects);
}

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
  return weight > SUSPECTS_WEIGHT_TRIAL ? WEIGHT_MAX + weight : weight + 1;
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
static const char *
kind_name (guint64 key)
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

static void
log_part (const char *event, guint64 key, guint weight)
{
  log_event (LOG_WARN, event,
             "part=%016" G_GINT64_MODIFIER "x weight=%u kind=%s", key, weight,
             kind_name (key));
}

static guint
highest_weight (const struct suspects_crash *crash)
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
      gboolean is_trial
          = prompt_part_is_request (key) && other_weight >= WEIGHT_DANGEROUS;
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
  return weight >= WEIGHT_HELD
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
      if (highest_weight (crash) < WEIGHT_HELD_MANY)
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
        log_part ("part.held", held[i], suspects_weight_of (suspects, held[i]));
      }
  for (guint i = 0; i < suspects->n_held; i++)
    if (!contains (held, n, suspects->held[i]))
      log_part ("part.released", suspects->held[i],
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
  guint doublings = (MAX (weight, WEIGHT_HELD) - WEIGHT_HELD) / WEIGHT_BEGUN;
  return HOLD_US << MIN (doublings, HOLD_DOUBLINGS_MAX);
}

/* Returns whether the attempt, which is in progress, has been sent as the trial
   of a part.  */
gboolean
suspects_was_trial (const struct suspects_attempt *attempt)
{
  if (attempt->link.data == NULL)
    return FALSE;
  for (guint i = 0; i < attempt->parts->n; i++)
    if (attempt->weights[i] >= SUSPECTS_WEIGHT_TRIAL
        && (!attempt->begun
            || prompt_part_is_request (attempt->parts->keys[i])))
      return TRUE;
  return FALSE;
}

/* Returns whether a trial of one of PARTS has ended a server, and nothing has
   cleared the part since.  */
gboolean
suspects_confirmed (const struct suspects *suspects,
                    const struct prompt_parts *parts)
{
  guint weight;
  suspects_most_suspected (suspects, parts, NULL, &weight);
  return weight > SUSPECTS_WEIGHT_TRIAL;
}

/* Returns whether the server with key SERVER, which has broken off an attempt,
   is being checked.  */
gboolean
suspects_is_checking (const struct suspects *suspects, guint64 server)
{
  for (guint i = 0; i < suspects->n_broken; i++)
    if (suspects->broken[i].server == server && !suspects->broken[i].settled)
      return TRUE;
  return FALSE;
}

/* Returns whether the server with key SERVER has ended under a request with a
   part that may be the cause.  */
gboolean
suspects_has_ended (const struct suspects *suspects, guint64 server)
{
  for (guint i = 0; i < suspects->n_crashes; i++)
    if (suspects->crashes[i].server == server
        && highest_weight (&suspects->crashes[i]) > 0)
      return TRUE;
  return FALSE;
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

/* Returns whether any crash is known, or may turn out to be one.  */
gboolean
suspects_is_active (const struct suspects *suspects)
{
  return suspects->n_crashes > 0 || suspects->n_broken > 0;
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
  return weight >= WEIGHT_DANGEROUS
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

/* An attempt with PARTS, borrowed until its end, is being sent to the server
   with key SERVER. The fingerprints may be added to PARTS later.  */
void
suspects_begin (struct suspects *suspects, struct suspects_attempt *attempt,
                const struct prompt_parts *parts, guint64 server, gint64 now)
{
  guint weight;
  suspects_end (suspects, attempt);
  attempt->parts = parts;
  attempt->server = server;
  attempt->at = now;
  attempt->begun = FALSE;
  memset (attempt->weights, 0, sizeof attempt->weights);
  for (guint i = 0; i < parts->n; i++)
    attempt->weights[i] = (guint8)suspects_weight_of (suspects, parts->keys[i]);
  attempt->link = (GList){ .data = attempt };
  g_queue_push_tail_link (&suspects->attempts, &attempt->link);
  guint64 key = suspects_trial_key (suspects, parts, FALSE, &weight);
  if (key == 0)
    return;
  suspects_drop_claim (suspects, key);
  suspects_tell (suspects, TRUE);
}

/* The attempt has ended, which says nothing about its parts.  */
void
suspects_end (struct suspects *suspects, struct suspects_attempt *attempt)
{
  if (attempt->link.data == NULL)
    return;
  g_queue_unlink (&suspects->attempts, &attempt->link);
  attempt->link.data = NULL;
  if (suspects->told_trials)
    suspects_tell (suspects, TRUE);
}

/* Clears the parts of the prompt of the attempt; if COMPLETE, also its
   fingerprints.  */
static void
clear_parts (struct suspects *suspects, const struct suspects_attempt *attempt,
             gboolean complete, gint64 now)
{
  gboolean changed = FALSE;
  suspects_note_sound (suspects, attempt->parts, complete, now);
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      struct suspects_crash *crash = &suspects->crashes[i];
      for (guint j = 0; j < crash->parts.n; j++)
        {
          if (crash->cleared[j]
              || (!complete && prompt_part_is_request (crash->parts.keys[j]))
              || !prompt_parts_contain (attempt->parts, crash->parts.keys[j]))
            continue;
          log_part ("part.cleared", crash->parts.keys[j], crash->weights[j]);
          crash->cleared[j] = TRUE;
          crash->tell = TRUE;
          crash->changed = ++suspects->n_changes;
          changed = TRUE;
        }
    }
  if (changed)
    suspects_note_changed (suspects, TRUE);
}

/* A server has written on the prompt of the attempt, for the first time.  */
void
suspects_wrote (struct suspects *suspects, struct suspects_attempt *attempt,
                gint64 now)
{
  if (attempt->link.data == NULL || attempt->begun)
    return;
  attempt->begun = TRUE;
  clear_parts (suspects, attempt, FALSE, now);
  if (suspects->told_trials)
    suspects_tell (suspects, TRUE);
}

/* The response of the server to the attempt is complete.  */
void
suspects_completed (struct suspects *suspects, struct suspects_attempt *attempt,
                    gint64 now)
{
  if (attempt->link.data == NULL)
    return;
  suspects_end (suspects, attempt);
  clear_parts (suspects, attempt, TRUE, now);
}

/* Drops the oldest attempt that is of least use. Returns whether there is one.
 */
static gboolean
drop_settled (struct suspects *suspects)
{
  guint oldest = SUSPECTS_BROKEN_MAX;
  for (guint i = 0; i < suspects->n_broken; i++)
    if (suspects->broken[i].settled
        && (oldest == SUSPECTS_BROKEN_MAX
            || suspects->broken[i].at < suspects->broken[oldest].at))
      oldest = i;
  if (oldest == SUSPECTS_BROKEN_MAX)
    return FALSE;
  suspects->broken[oldest] = suspects->broken[--suspects->n_broken];
  return TRUE;
}

/* The attempt has broken off. Returns whether it matters if its server has
   ended; then the caller checks the server and calls suspects_server_checked,
   also when the server's end is listed later.  */
gboolean
suspects_broke (struct suspects *suspects, struct suspects_attempt *attempt,
                enum suspects_evidence evidence, gint64 now)
{
  if (attempt->link.data == NULL)
    return FALSE;
  suspects_end (suspects, attempt);
  if (suspects->n_broken == SUSPECTS_BROKEN_MAX && !drop_settled (suspects))
    {
      log_event (LOG_WARN, "part.overflow", "broken=%u", suspects->n_broken);
      return FALSE;
    }
  struct suspects_broken *broken = &suspects->broken[suspects->n_broken++];
  *broken = (struct suspects_broken){ .server = attempt->server,
                                      .evidence = evidence,
                                      .parts = *attempt->parts,
                                      .at = now };
  memcpy (broken->weights, attempt->weights, sizeof broken->weights);
  return TRUE;
}

/* Returns the weight that the crash under BROKEN, one of N_BROKEN attempts that
   a server had when it ended, gives the parts of its prompt; 0: it says
   nothing.  */
static guint
part_weight (const struct suspects_broken *broken, guint n_broken)
{
  switch (broken->evidence)
    {
    case SUSPECTS_BEGUN:
      return 0;
    case SUSPECTS_HEAD:
      return WEIGHT_BEGUN;
    case SUSPECTS_NO_HEAD:
      return n_broken == 1 ? WEIGHT_WAITED : 0;
    case SUSPECTS_PLAIN:
      return n_broken == 1 ? WEIGHT_BEGUN : WEIGHT_WAITED;
    }
  return 0;
}

/* Returns the same for fingerprint number I. A request that has crashed a
   server before is a better explanation than others on the same server.  */
static guint
fingerprint_weight (const struct suspects_broken *broken, guint i,
                    guint n_broken)
{
  gboolean is_alone = n_broken == 1 && broken->evidence != SUSPECTS_BEGUN;
  return broken->weights[i] > 0 || is_alone ? WEIGHT_BEGUN : WEIGHT_WAITED;
}

/* Returns the weight that fingerprint number I had before the crash under
   BROKEN. Crashes of other servers that were not known when it was sent count
   too if no server has responded to the request, but not so much that it is
   held without a further trial: servers may have ended together.  */
static guint
weight_before (const struct suspects *suspects,
               const struct suspects_broken *broken, guint i, gint64 now)
{
  guint64 key = broken->parts.keys[i];
  guint weight = 0;
  if (!prompt_part_is_request (key) || suspects_is_sound (suspects, key, now))
    return broken->weights[i];
  for (guint j = 0; j < suspects->n_crashes; j++)
    {
      const struct suspects_crash *crash = &suspects->crashes[j];
      for (guint k = 0; k < crash->parts.n; k++)
        if (crash->server != broken->server && crash->parts.keys[k] == key
            && !crash->cleared[k])
          weight = MAX (weight, crash->weights[k]);
    }
  return MAX (broken->weights[i],
              MIN (weight, WEIGHT_DANGEROUS - WEIGHT_BEGUN));
}

/* Returns a free crash. If there is none, the least suspected and oldest one is
   dropped.  */
struct suspects_crash *
suspects_add_crash (struct suspects *suspects)
{
  if (suspects->n_crashes < SUSPECTS_CRASHES_MAX)
    return &suspects->crashes[suspects->n_crashes++];
  struct suspects_crash *least = &suspects->crashes[0];
  for (guint i = 1; i < SUSPECTS_CRASHES_MAX; i++)
    {
      struct suspects_crash *crash = &suspects->crashes[i];
      guint a = highest_weight (crash);
      guint b = highest_weight (least);
      if (a < b || (a == b && crash->at < least->at))
        least = crash;
    }
  log_event (LOG_WARN, "part.overflow", "crashes=%u", suspects->n_crashes);
  return least;
}

/* Returns whether the crashes known say as much as one more under PARTS with
   WEIGHTS.  */
static gboolean
is_known (const struct suspects *suspects, const struct prompt_parts *parts,
          const guint8 *weights)
{
  guint n = 0;
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      const struct suspects_crash *crash = &suspects->crashes[i];
      gboolean same = crash->parts.n == parts->n
                      && memcmp (crash->parts.keys, parts->keys,
                                 parts->n * sizeof parts->keys[0])
                             == 0;
      for (guint j = 0; same && j < parts->n; j++)
        same = !crash->cleared[j] && crash->weights[j] >= weights[j];
      n += same;
    }
  return n >= SAME_CRASHES_MAX;
}

/* Records that a server has ended under BROKEN, one of N_BROKEN attempts that
   it had.  */
static void
record_crash (struct suspects *suspects, const struct suspects_broken *broken,
              guint n_broken, gint64 now)
{
  guint8 weights[PROMPT_PARTS_MAX] = { 0 };
  char text[PROMPT_PARTS_MAX * 17 + 1];
  guint most = 0;
  for (guint i = 0; i < broken->parts.n; i++)
    {
      guint added = prompt_part_is_request (broken->parts.keys[i])
                        ? fingerprint_weight (broken, i, n_broken)
                        : part_weight (broken, n_broken);
      if (added > 0)
        weights[i] = (guint8)MIN (
            weight_before (suspects, broken, i, now) + added, WEIGHT_MAX);
      most = MAX (most, weights[i]);
    }
  if (most == 0)
    return;
  prompt_parts_print (&broken->parts, text, sizeof text);
  log_event (LOG_WARN, "part.suspected",
             "parts=%s weight=%u evidence=%s others=%u"
             " server=%016" G_GINT64_MODIFIER "x age_ms=%" G_GINT64_FORMAT,
             text, most, evidence_names[broken->evidence], n_broken - 1,
             broken->server, (now - broken->at) / CLK_MS);
  counter_add (suspects->options.counter_set, COUNTER_SUSPECT_CRASHES, 1);
  if (is_known (suspects, &broken->parts, weights))
    return;
  struct suspects_crash *crash = suspects_add_crash (suspects);
  *crash = (struct suspects_crash){ .server = broken->server,
                                    .at = now,
                                    .parts = broken->parts,
                                    .changed = ++suspects->n_changes,
                                    .own = TRUE,
                                    .tell = TRUE };
  crash->id = (guint64)g_rand_int (suspects->rand) << 32;
  crash->id |= g_rand_int (suspects->rand);
  memcpy (crash->weights, weights, sizeof weights);
  /* A crash that says nothing of a part counts for none of it. */
  for (guint i = 0; i < crash->parts.n; i++)
    crash->cleared[i] = weights[i] == 0;
  suspects->last_crash_at = now;
}

/* Drops the broken attempts of SERVER.  */
static void
drop_broken (struct suspects *suspects, guint64 server)
{
  for (guint i = suspects->n_broken; i-- > 0;)
    if (suspects->broken[i].server == server)
      suspects->broken[i] = suspects->broken[--suspects->n_broken];
}

/* The server with key SERVER has ended.  */
static void
server_ended (struct suspects *suspects, guint64 server, gint64 now)
{
  guint n = 0;
  for (guint i = 0; i < suspects->n_broken; i++)
    n += suspects->broken[i].server == server;
  if (n == 0)
    return;
  for (guint i = 0; i < suspects->n_broken; i++)
    if (suspects->broken[i].server == server)
      record_crash (suspects, &suspects->broken[i], n, now);
  drop_broken (suspects, server);
  suspects_note_changed (suspects, TRUE);
}

/* The server with key SERVER seems to run: the attempts that broke off there
   say nothing about their parts, unless its end is listed soon. It may have
   ended and begun anew before it was checked.  */
static void
settle (struct suspects *suspects, guint64 server)
{
  gboolean changed = FALSE;
  for (guint i = 0; i < suspects->n_broken; i++)
    if (suspects->broken[i].server == server && !suspects->broken[i].settled)
      suspects->broken[i].settled = changed = TRUE;
  if (changed)
    suspects_tell (suspects, TRUE);
}

/* It has been found out, by a check or from the list, in which STATE the server
   with key SERVER is.  */
void
suspects_server_checked (struct suspects *suspects, guint64 server,
                         enum suspects_server_state state, gint64 now)
{
  switch (state)
    {
    case SUSPECTS_SERVER_ENDED:
      server_ended (suspects, server, now);
      return;
    case SUSPECTS_SERVER_LIVES:
      settle (suspects, server);
      return;
    case SUSPECTS_SERVER_UNKNOWN:
      for (guint i = 0; i < suspects->n_broken; i++)
        suspects->broken[i].unknown |= suspects->broken[i].server == server;
      return;
    }
}

/* Forgets what is out of date.  */
void
suspects_expire (struct suspects *suspects, gint64 now)
{
  gboolean changed = suspects_expire_claims (suspects, now);
  for (guint i = suspects->n_broken; i-- > 0;)
    {
      struct suspects_broken *broken = &suspects->broken[i];
      if (now - broken->at >= END_LISTED_US)
        *broken = suspects->broken[--suspects->n_broken];
      else if (now - broken->at >= BROKEN_KEPT_US && !broken->settled
               && !broken->unknown)
        broken->settled = changed = TRUE;
    }
  for (guint i = suspects->n_crashes; i-- > 0;)
    {
      guint weight = highest_weight (&suspects->crashes[i]);
      gint64 kept = weight >= WEIGHT_HELD
                        ? HOLDS_KEPT * suspects_hold_us (weight)
                        : CRASH_KEPT_US;
      if (now - suspects->crashes[i].at < kept)
        continue;
      suspects->crashes[i] = suspects->crashes[--suspects->n_crashes];
      changed = TRUE;
    }
  if (changed)
    suspects_note_changed (suspects, FALSE);
}

/* Writes the held parts as a member of the open JSON object.  */
void
suspects_dump (const struct suspects *suspects, JsonBuilder *json, gint64 now)
{
  json_add_int (json, "suspect_crashes", suspects->n_crashes);
  json_builder_set_member_name (json, "held_parts");
  json_builder_begin_array (json);
  for (guint i = 0; i < suspects->n_held; i++)
    {
      struct prompt_parts parts = { .keys = { suspects->held[i] }, .n = 1 };
      char text[20];
      prompt_parts_print (&parts, text, sizeof text);
      json_builder_begin_object (json);
      json_add_str (json, "part", text);
      json_add_str (json, "kind", kind_name (suspects->held[i]));
      json_add_int (json, "weight",
                    suspects_weight_of (suspects, suspects->held[i]));
      json_add_int (json, "held_ms",
                    (suspects_held_until (suspects, &parts, now) - now)
                        / CLK_MS);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
