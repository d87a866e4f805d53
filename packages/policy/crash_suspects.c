#include "policy/crash_suspects_internal.h"

#include "base/json_add.h"
#include "base/log.h"

#include <string.h>

/* Addresses these load patterns: requests, no two alike, with one part in their
   prompts that ends each server which begins to write on it; and one request
   that ends each server which begins to run it, sent again and again under new
   ids. Each attempt, and each return of a client, takes it to a server that is
   still up, until few are left.  */

/* Weight of a crash under an attempt that may only have waited at the server.
 */
#define WEIGHT_WAITED 1
#define SAME_CRASHES_MAX 12 /* kept of those under the same parts */
/* A check of a server that finds out anything takes no longer; then the server
   counts as alive. */
#define BROKEN_KEPT_US (1 * CLK_S)
/* Until it is listed that a server has ended which seemed to run, or while no
   server could be reached. */
#define END_LISTED_US (6 * CLK_S)
#define CRASH_KEPT_US (120 * CLK_S)
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
        && suspects_highest_weight (&suspects->crashes[i]) > 0)
      return TRUE;
  return FALSE;
}

/* Returns whether any crash is known, or may turn out to be one.  */
gboolean
suspects_is_active (const struct suspects *suspects)
{
  return suspects->n_crashes > 0 || suspects->n_broken > 0;
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
          suspects_log_part ("part.cleared", crash->parts.keys[j],
                             crash->weights[j]);
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
      return SUSPECTS_WEIGHT_BEGUN;
    case SUSPECTS_NO_HEAD:
      return n_broken == 1 ? WEIGHT_WAITED : 0;
    case SUSPECTS_PLAIN:
      return n_broken == 1 ? SUSPECTS_WEIGHT_BEGUN : WEIGHT_WAITED;
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
  return broken->weights[i] > 0 || is_alone ? SUSPECTS_WEIGHT_BEGUN
                                            : WEIGHT_WAITED;
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
              MIN (weight, SUSPECTS_WEIGHT_DANGEROUS - SUSPECTS_WEIGHT_BEGUN));
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
      guint a = suspects_highest_weight (crash);
      guint b = suspects_highest_weight (least);
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
        weights[i]
            = (guint8)MIN (weight_before (suspects, broken, i, now) + added,
                           SUSPECTS_WEIGHT_MAX);
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
  if (most >= SUSPECTS_WEIGHT_DANGEROUS && suspects->options.save != NULL)
    suspects->options.save (suspects->options.ctx);
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

/* Returns how long CRASH is known after it has happened.  */
gint64
suspects_kept_us (const struct suspects_crash *crash)
{
  guint weight = suspects_highest_weight (crash);
  return weight >= SUSPECTS_WEIGHT_HELD ? HOLDS_KEPT * suspects_hold_us (weight)
                                        : CRASH_KEPT_US;
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
      const struct suspects_crash *crash = &suspects->crashes[i];
      if (now - crash->at < suspects_kept_us (crash))
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
      json_add_str (json, "kind", suspects_kind_name (suspects->held[i]));
      json_add_int (json, "weight",
                    suspects_weight_of (suspects, suspects->held[i]));
      json_add_int (json, "held_ms",
                    (suspects_held_until (suspects, &parts, now) - now)
                        / CLK_MS);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
