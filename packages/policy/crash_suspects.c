#include "policy/crash_suspects.h"

#include "base/json_add.h"
#include "base/log.h"

#include <string.h>

/* Addresses this load pattern: requests, no two alike, with one part in their
   prompts that ends each server which begins to write on it. Each attempt, and
   each return of a client, takes it to a server that is still up, until few are
   left.  */

#define CRASHES_MAX 64
#define BROKEN_MAX 32 /* attempts whose servers are being checked */
#define HELD_MAX 16   /* parts */
/* Weight of a crash under an attempt that a server had begun to write on, and
   of one that may only have waited there. */
#define WEIGHT_BEGUN 2
#define WEIGHT_WAITED 1
#define WEIGHT_MAX 255
#define WEIGHT_TRIAL 2 /* from here on a part is tried by one at a time */
#define WEIGHT_HELD 5  /* from here on requests are rejected */
/* A check of a server takes no longer; then the server counts as alive. */
#define BROKEN_KEPT_US (1 * CLK_S)
#define CRASH_KEPT_US (120 * CLK_S)
/* Time until a held part is tried again, for the first time; it doubles with
   each trial. */
#define HOLD_US (60 * CLK_S)
#define HOLD_DOUBLINGS_MAX 6
/* A crash is kept for so many times the hold, in case the instance that is to
   try the part is gone. */
#define HOLDS_KEPT 4
#define PEER_TRIALS_US (1 * CLK_S) /* from the last message of the peer */

/* An attempt that broke off, whose server may have ended.  */
struct broken
{
  guint64 server; /* key of its life */
  enum suspects_evidence evidence;
  struct prompt_parts parts;
  guint8 weights[PROMPT_PARTS_MAX];
  gint64 at;
};

struct peer_trials
{
  struct suspects_trial trials[SUSPECTS_TRIALS_MAX];
  guint n;
  gint64 at;
};

struct suspects
{
  struct suspects_options options;
  GRand *rand;
  struct suspects_crash crashes[CRASHES_MAX];
  guint n_crashes;
  guint64 n_changes;
  struct broken broken[BROKEN_MAX];
  guint n_broken;
  GQueue attempts;        /* of struct suspects_attempt, borrowed */
  GHashTable *peers;      /* IP: struct peer_trials, owned */
  guint64 held[HELD_MAX]; /* keys of the held parts */
  guint n_held;
};

struct suspects *
suspects_new (const struct suspects_options *options)
{
  struct suspects *suspects = g_new0 (struct suspects, 1);
  suspects->options = *options;
  suspects->rand = g_rand_new_with_seed (options->seed);
  g_queue_init (&suspects->attempts);
  suspects->peers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return suspects;
}

void
suspects_free (struct suspects *suspects)
{
  if (suspects == NULL)
    return;
  g_hash_table_unref (suspects->peers);
  g_rand_free (suspects->rand);
  g_free (suspects);
}

/* Returns the highest weight that any crash gives the part KEY; 0: it is not
   suspected.  */
static guint
weight_of (const struct suspects *suspects, guint64 key)
{
  guint weight = 0;
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      const struct suspects_crash *crash = &suspects->crashes[i];
      for (guint j = 0; j < crash->parts.n; j++)
        if (crash->parts.keys[j] == key && !crash->cleared[j])
          weight = MAX (weight, crash->weights[j]);
    }
  return weight;
}

/* Returns the index of the most suspected of PARTS, and its weight in WEIGHT.
   Of two it is the later one, which fewer requests share. CLEARED: parts to
   leave out, NULL: none.  */
static guint
most_suspected (const struct suspects *suspects,
                const struct prompt_parts *parts, const gboolean *cleared,
                guint *weight)
{
  guint index = 0;
  *weight = 0;
  for (guint i = 0; i < parts->n; i++)
    {
      guint of_part = cleared != NULL && cleared[i]
                          ? 0
                          : weight_of (suspects, parts->keys[i]);
      if (of_part == 0 || of_part < *weight)
        continue;
      *weight = of_part;
      index = i;
    }
  return index;
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
  log_event (LOG_WARN, event, "part=%016" G_GINT64_MODIFIER "x weight=%u", key,
             weight);
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
   or another request on the same server may have crashed it as well.  */
static guint64
culprit_of (const struct suspects *suspects, const struct suspects_crash *crash,
            guint *weight)
{
  guint part = most_suspected (suspects, &crash->parts, crash->cleared, weight);
  if (*weight == 0)
    return 0;
  guint64 key = crash->parts.keys[part];
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      const struct suspects_crash *other = &suspects->crashes[i];
      guint other_weight;
      if (other == crash || other->server != crash->server)
        continue;
      guint other_part = most_suspected (suspects, &other->parts,
                                         other->cleared, &other_weight);
      if (other_weight >= *weight && other->parts.keys[other_part] != key)
        return 0;
    }
  return key;
}

/* Determines the held parts anew. The most suspected part of a crash explains
   it; the others are not held for it.  */
static void
update_held (struct suspects *suspects)
{
  guint64 held[HELD_MAX];
  guint n = 0;
  for (guint i = 0; i < suspects->n_crashes && n < HELD_MAX; i++)
    {
      const struct suspects_crash *crash = &suspects->crashes[i];
      guint weight;
      if (highest_weight (crash) < WEIGHT_HELD)
        continue;
      guint64 key = culprit_of (suspects, crash, &weight);
      if (key != 0 && weight >= WEIGHT_HELD && !contains (held, n, key))
        held[n++] = key;
    }
  for (guint i = 0; i < n; i++)
    if (!contains (suspects->held, suspects->n_held, held[i]))
      {
        counter_add (suspects->options.counter_set, COUNTER_PARTS_HELD, 1);
        log_part ("part.held", held[i], weight_of (suspects, held[i]));
      }
  for (guint i = 0; i < suspects->n_held; i++)
    if (!contains (held, n, suspects->held[i]))
      log_part ("part.released", suspects->held[i],
                weight_of (suspects, suspects->held[i]));
  memcpy (suspects->held, held, n * sizeof held[0]);
  suspects->n_held = n;
}

/* Something has changed, seen here if OWN or else told by a peer.  */
static void
note_changed (struct suspects *suspects, gboolean own)
{
  update_held (suspects);
  if (suspects->options.changed != NULL)
    suspects->options.changed (suspects->options.ctx, own);
}

static gboolean
is_in_progress (const struct suspects *suspects, guint64 key)
{
  for (const GList *l = suspects->attempts.head; l != NULL; l = l->next)
    if (prompt_parts_contain (((const struct suspects_attempt *)l->data)->parts,
                              key))
      return TRUE;
  return FALSE;
}

/* Returns whether a part is being tried, here or at a peer.  */
static gboolean
is_tried (const struct suspects *suspects, guint64 key, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  if (is_in_progress (suspects, key))
    return TRUE;
  g_hash_table_iter_init (&iter, suspects->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer_trials *peer = value;
      for (guint i = 0; i < peer->n && now - peer->at < PEER_TRIALS_US; i++)
        if (peer->trials[i].part == key)
          return TRUE;
    }
  return FALSE;
}

/* Returns whether SERVER is being sent a suspected part, from here or from a
   peer. Two trials there at once would not tell which part has ended it.  */
static gboolean
has_trial (const struct suspects *suspects, guint64 server, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  guint weight;
  for (const GList *l = suspects->attempts.head; l != NULL; l = l->next)
    {
      const struct suspects_attempt *attempt = l->data;
      if (attempt->server != server)
        continue;
      most_suspected (suspects, attempt->parts, NULL, &weight);
      if (weight >= WEIGHT_TRIAL)
        return TRUE;
    }
  g_hash_table_iter_init (&iter, suspects->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer_trials *peer = value;
      for (guint i = 0; i < peer->n && now - peer->at < PEER_TRIALS_US; i++)
        if (peer->trials[i].server == server)
          return TRUE;
    }
  return FALSE;
}

/* Returns whether an attempt with one of PARTS has broken off whose server is
   being checked.  */
static gboolean
is_being_checked (const struct suspects *suspects,
                  const struct prompt_parts *parts)
{
  for (guint i = 0; i < suspects->n_broken; i++)
    for (guint j = 0; j < parts->n; j++)
      if (suspects->broken[i].evidence != SUSPECTS_NO_HEAD
          && prompt_parts_contain (&suspects->broken[i].parts, parts->keys[j]))
        return TRUE;
  return FALSE;
}

/* Returns for how long a part of WEIGHT is held before its next trial.  */
static gint64
hold_us (guint weight)
{
  guint doublings = (weight - WEIGHT_HELD) / WEIGHT_BEGUN;
  return HOLD_US << MIN (doublings, HOLD_DOUBLINGS_MAX);
}

/* Returns the latest crash that has made the part KEY as suspected as it is. */
static const struct suspects_crash *
latest_crash (const struct suspects *suspects, guint64 key)
{
  const struct suspects_crash *latest = NULL;
  guint weight = weight_of (suspects, key);
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      const struct suspects_crash *crash = &suspects->crashes[i];
      for (guint j = 0; j < crash->parts.n; j++)
        if (crash->parts.keys[j] == key && !crash->cleared[j]
            && crash->weights[j] == weight
            && (latest == NULL || crash->at > latest->at))
          latest = crash;
    }
  return latest;
}

/* Returns whether the held part KEY may be tried again here. The instance that
   saw its last crash tries it, so that not each one does.  */
static gboolean
is_trial_due (const struct suspects *suspects, guint64 key, gint64 now)
{
  const struct suspects_crash *crash = latest_crash (suspects, key);
  return crash != NULL && crash->own
         && now - crash->at >= hold_us (weight_of (suspects, key))
         && !is_tried (suspects, key, now);
}

/* Returns whether a request with PARTS may be sent to SERVER now, the key of
   its life; 0: to some server.  */
enum suspects_verdict
suspects_check (const struct suspects *suspects,
                const struct prompt_parts *parts, guint64 server, gint64 now)
{
  guint weight;
  if (suspects->n_crashes == 0 && suspects->n_broken == 0)
    return SUSPECTS_FREE;
  for (guint i = 0; i < parts->n; i++)
    if (contains (suspects->held, suspects->n_held, parts->keys[i])
        && !is_trial_due (suspects, parts->keys[i], now))
      return SUSPECTS_HELD;
  if (is_being_checked (suspects, parts))
    return SUSPECTS_WAIT;
  guint part = most_suspected (suspects, parts, NULL, &weight);
  if (weight < WEIGHT_TRIAL)
    return SUSPECTS_FREE;
  return is_tried (suspects, parts->keys[part], now)
                 || (server != 0 && has_trial (suspects, server, now))
             ? SUSPECTS_WAIT
             : SUSPECTS_TRIAL;
}

/* Returns whether the attempt, which is in progress, has been sent as the trial
   of a part.  */
gboolean
suspects_was_trial (const struct suspects_attempt *attempt)
{
  if (attempt->link.data == NULL)
    return FALSE;
  for (guint i = 0; i < attempt->parts->n; i++)
    if (attempt->weights[i] >= WEIGHT_TRIAL)
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
  most_suspected (suspects, parts, NULL, &weight);
  return weight > WEIGHT_TRIAL;
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
      const struct suspects_crash *crash
          = contains (suspects->held, suspects->n_held, key)
                ? latest_crash (suspects, key)
                : NULL;
      if (crash != NULL)
        until = MAX (until, crash->at + hold_us (weight_of (suspects, key)));
    }
  return until;
}

/* An attempt with PARTS, borrowed until its end, is being sent to the server
   with number SERVER.  */
void
suspects_begin (struct suspects *suspects, struct suspects_attempt *attempt,
                const struct prompt_parts *parts, guint64 server)
{
  guint weight;
  suspects_end (suspects, attempt);
  if (parts->n == 0)
    return;
  attempt->parts = parts;
  attempt->server = server;
  for (guint i = 0; i < parts->n; i++)
    attempt->weights[i] = (guint8)weight_of (suspects, parts->keys[i]);
  attempt->link = (GList){ .data = attempt };
  g_queue_push_tail_link (&suspects->attempts, &attempt->link);
  most_suspected (suspects, parts, NULL, &weight);
  if (weight >= WEIGHT_TRIAL && suspects->options.changed != NULL)
    suspects->options.changed (suspects->options.ctx, TRUE);
}

/* The attempt has ended, which says nothing about its parts.  */
void
suspects_end (struct suspects *suspects, struct suspects_attempt *attempt)
{
  if (attempt->link.data == NULL)
    return;
  g_queue_unlink (&suspects->attempts, &attempt->link);
  attempt->link.data = NULL;
}

/* A server has written on the prompt of the attempt: clears its parts.  */
void
suspects_wrote (struct suspects *suspects, struct suspects_attempt *attempt)
{
  gboolean changed = FALSE;
  if (attempt->link.data == NULL)
    return;
  suspects_end (suspects, attempt);
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      struct suspects_crash *crash = &suspects->crashes[i];
      for (guint j = 0; j < crash->parts.n; j++)
        {
          if (crash->cleared[j]
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
    note_changed (suspects, TRUE);
}

/* The attempt has broken off before the first event. Returns whether it matters
   if its server has ended; then the caller checks the server and calls
   suspects_server_ended or suspects_server_lives.  */
gboolean
suspects_broke (struct suspects *suspects, struct suspects_attempt *attempt,
                enum suspects_evidence evidence, gint64 now)
{
  if (attempt->link.data == NULL)
    return FALSE;
  suspects_end (suspects, attempt);
  if (suspects->n_broken == BROKEN_MAX)
    {
      log_event (LOG_WARN, "part.overflow", "broken=%u", suspects->n_broken);
      return FALSE;
    }
  struct broken *broken = &suspects->broken[suspects->n_broken++];
  *broken = (struct broken){ .server = attempt->server,
                             .evidence = evidence,
                             .parts = *attempt->parts,
                             .at = now };
  memcpy (broken->weights, attempt->weights, sizeof broken->weights);
  return TRUE;
}

/* Returns the weight of the crash under BROKEN, one of N_BROKEN attempts that a
   server had when it ended; 0: it says nothing.  */
static guint
crash_weight (const struct broken *broken, guint n_broken, gboolean any_head)
{
  switch (broken->evidence)
    {
    case SUSPECTS_HEAD:
      return WEIGHT_BEGUN;
    case SUSPECTS_NO_HEAD:
      return n_broken == 1 ? WEIGHT_WAITED : 0;
    case SUSPECTS_PLAIN:
      return any_head ? 0 : n_broken == 1 ? WEIGHT_BEGUN : WEIGHT_WAITED;
    }
  return 0;
}

/* Returns a free crash. If there is none, the least suspected and oldest one is
   dropped.  */
static struct suspects_crash *
add_crash (struct suspects *suspects)
{
  if (suspects->n_crashes < CRASHES_MAX)
    return &suspects->crashes[suspects->n_crashes++];
  struct suspects_crash *least = &suspects->crashes[0];
  for (guint i = 1; i < CRASHES_MAX; i++)
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

/* Returns whether another crash says as much as one under PARTS with WEIGHTS.
 */
static gboolean
is_known (const struct suspects *suspects, const struct prompt_parts *parts,
          const guint8 *weights)
{
  for (guint i = 0; i < suspects->n_crashes; i++)
    {
      const struct suspects_crash *crash = &suspects->crashes[i];
      gboolean same = crash->parts.n == parts->n
                      && memcmp (crash->parts.keys, parts->keys,
                                 parts->n * sizeof parts->keys[0])
                             == 0;
      for (guint j = 0; same && j < parts->n; j++)
        same = !crash->cleared[j] && crash->weights[j] >= weights[j];
      if (same)
        return TRUE;
    }
  return FALSE;
}

static void
record_crash (struct suspects *suspects, const struct broken *broken,
              guint weight, gint64 now)
{
  guint8 weights[PROMPT_PARTS_MAX] = { 0 };
  char text[PROMPT_PARTS_MAX * 17 + 1];
  for (guint i = 0; i < broken->parts.n; i++)
    weights[i] = (guint8)MIN (broken->weights[i] + weight, WEIGHT_MAX);
  prompt_parts_print (&broken->parts, text, sizeof text);
  log_event (LOG_WARN, "part.suspected",
             "parts=%s weight=%u server=%016" G_GINT64_MODIFIER "x", text,
             weight, broken->server);
  counter_add (suspects->options.counter_set, COUNTER_SUSPECT_CRASHES, 1);
  if (is_known (suspects, &broken->parts, weights))
    return;
  struct suspects_crash *crash = add_crash (suspects);
  *crash = (struct suspects_crash){ .server = broken->server,
                                    .at = now,
                                    .parts = broken->parts,
                                    .changed = ++suspects->n_changes,
                                    .own = TRUE,
                                    .tell = TRUE };
  crash->id = ((guint64)g_rand_int (suspects->rand) << 32)
              | g_rand_int (suspects->rand);
  memcpy (crash->weights, weights, sizeof weights);
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
void
suspects_server_ended (struct suspects *suspects, guint64 server, gint64 now)
{
  guint n = 0;
  gboolean any_head = FALSE;
  for (guint i = 0; i < suspects->n_broken; i++)
    if (suspects->broken[i].server == server)
      {
        n++;
        any_head |= suspects->broken[i].evidence == SUSPECTS_HEAD;
      }
  if (n == 0)
    return;
  for (guint i = 0; i < suspects->n_broken; i++)
    {
      const struct broken *broken = &suspects->broken[i];
      guint weight
          = broken->server == server ? crash_weight (broken, n, any_head) : 0;
      if (weight > 0)
        record_crash (suspects, broken, weight, now);
    }
  drop_broken (suspects, server);
  note_changed (suspects, TRUE);
}

/* The server with key SERVER runs: the attempts that broke off there say
   nothing about their parts.  */
void
suspects_server_lives (struct suspects *suspects, guint64 server)
{
  guint before = suspects->n_broken;
  drop_broken (suspects, server);
  if (suspects->n_broken < before)
    note_changed (suspects, FALSE);
}

/* Forgets what is out of date.  */
void
suspects_expire (struct suspects *suspects, gint64 now)
{
  gboolean changed = FALSE;
  for (guint i = suspects->n_broken; i-- > 0;)
    if (now - suspects->broken[i].at >= BROKEN_KEPT_US)
      {
        suspects->broken[i] = suspects->broken[--suspects->n_broken];
        changed = TRUE;
      }
  for (guint i = suspects->n_crashes; i-- > 0;)
    {
      guint weight = highest_weight (&suspects->crashes[i]);
      gint64 kept = weight >= WEIGHT_HELD ? HOLDS_KEPT * hold_us (weight)
                                          : CRASH_KEPT_US;
      if (now - suspects->crashes[i].at < kept)
        continue;
      suspects->crashes[i] = suspects->crashes[--suspects->n_crashes];
      changed = TRUE;
    }
  if (changed)
    note_changed (suspects, FALSE);
}

/* Returns the number of the last change.  */
guint64
suspects_n_changes (const struct suspects *suspects)
{
  return suspects->n_changes;
}

/* Finds the crashes that have changed after the change SINCE, in order, MAX at
   most with about PARTS_MAX parts together; without ALL only those that changed
   here. THROUGH is the last change that they cover.  */
guint
suspects_changes_since (const struct suspects *suspects, guint64 since,
                        gboolean all, const struct suspects_crash **found,
                        guint max, guint parts_max, guint64 *through)
{
  guint n = 0;
  guint n_parts = 0;
  guint64 last = since;
  for (;;)
    {
      const struct suspects_crash *next = NULL;
      for (guint i = 0; i < suspects->n_crashes; i++)
        {
          const struct suspects_crash *crash = &suspects->crashes[i];
          if (crash->changed > last && (all || crash->tell)
              && (next == NULL || crash->changed < next->changed))
            next = crash;
        }
      if (next == NULL)
        break;
      if (n == max || n_parts >= parts_max)
        {
          *through = last;
          return n;
        }
      last = next->changed;
      n_parts += next->parts.n;
      found[n++] = next;
    }
  *through = suspects->n_changes;
  return n;
}

/* Adds what a peer has told. CRASH is copied; its private members count for
   nothing.  */
void
suspects_merge (struct suspects *suspects, const struct suspects_crash *crash)
{
  struct suspects_crash *known = NULL;
  gboolean changed = FALSE;
  for (guint i = 0; i < suspects->n_crashes; i++)
    if (suspects->crashes[i].id == crash->id)
      known = &suspects->crashes[i];
  if (known == NULL)
    {
      known = add_crash (suspects);
      *known = *crash;
      known->own = known->tell = FALSE;
      changed = TRUE;
    }
  for (guint i = 0; i < MIN (known->parts.n, crash->parts.n); i++)
    {
      changed |= crash->cleared[i] && !known->cleared[i];
      known->cleared[i] |= crash->cleared[i];
    }
  if (!changed)
    return;
  known->changed = ++suspects->n_changes;
  note_changed (suspects, FALSE);
}

/* Fills TRIALS with the suspected parts that are being tried here. Returns how
   many there are, MAX at most.  */
guint
suspects_trials (const struct suspects *suspects, struct suspects_trial *trials,
                 guint max)
{
  guint n = 0;
  guint weight;
  if (suspects->n_crashes == 0)
    return 0;
  for (const GList *l = suspects->attempts.head; l != NULL && n < max;
       l = l->next)
    {
      const struct suspects_attempt *attempt = l->data;
      guint part = most_suspected (suspects, attempt->parts, NULL, &weight);
      if (weight >= WEIGHT_TRIAL)
        trials[n++] = (struct suspects_trial){ attempt->parts->keys[part],
                                               attempt->server };
    }
  return n;
}

/* Replaces the parts that the instance at IP address PEER is trying.  */
void
suspects_set_peer_trials (struct suspects *suspects, guint32 peer,
                          const struct suspects_trial *trials, guint n,
                          gint64 now)
{
  gpointer key = GUINT_TO_POINTER (peer);
  struct peer_trials *known = g_hash_table_lookup (suspects->peers, key);
  if (n == 0)
    {
      if (known != NULL && g_hash_table_remove (suspects->peers, key))
        note_changed (suspects, FALSE);
      return;
    }
  if (known == NULL)
    {
      known = g_new0 (struct peer_trials, 1);
      g_hash_table_insert (suspects->peers, key, known);
    }
  known->n = MIN (n, SUSPECTS_TRIALS_MAX);
  memcpy (known->trials, trials, known->n * sizeof trials[0]);
  known->at = now;
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
      json_add_int (json, "weight", weight_of (suspects, suspects->held[i]));
      json_add_int (json, "held_ms",
                    (suspects_held_until (suspects, &parts, now) - now)
                        / CLK_MS);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
