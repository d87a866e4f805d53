/* Shared by the files of crash_suspects.h.  */
#ifndef CRASH_SUSPECTS_INTERNAL_H
#define CRASH_SUSPECTS_INTERNAL_H

#include "policy/crash_suspects.h"

#define SUSPECTS_CRASHES_MAX 64
#define SUSPECTS_BROKEN_MAX 128 /* attempts whose servers may have ended */
#define SUSPECTS_HELD_MAX 16    /* parts */
#define SUSPECTS_CLAIMS_MAX 64
#define SUSPECTS_SOUND_MAX 512
#define SUSPECTS_SOUND_REQUESTS_MAX 1024
/* Weight from which on a part is tried by one request at a time, and a server
   by one such part at a time. A fingerprint is tried by one request at a time
   from the first suspicion on.  */
#define SUSPECTS_WEIGHT_TRIAL 2
/* Weight of a crash under an attempt that the server had begun to work on. */
#define SUSPECTS_WEIGHT_BEGUN 2
/* From here on a request is tried only where the service keeps a server. */
#define SUSPECTS_WEIGHT_DANGEROUS 4
#define SUSPECTS_WEIGHT_HELD 5 /* from here on requests are rejected */
#define SUSPECTS_WEIGHT_MAX 255

/* An attempt that broke off, whose server may have ended.  */
struct suspects_broken
{
  guint64 server; /* key of its life */
  enum suspects_evidence evidence;
  struct prompt_parts parts;
  guint8 weights[PROMPT_PARTS_MAX];
  gint64 at;
  gboolean settled; /* checked: the server seemed to run */
  gboolean unknown; /* checked: no server could be reached */
};

/* Requests here want to try a part.  */
struct suspects_claim
{
  guint64 part;
  guint32 order;       /* the lowest of all instances goes first */
  guint n_doubtful;    /* parts of the request with the fewest */
  gint64 lowest_since; /* peers claim none lower and try nothing; 0: they do */
  gint64 seen;         /* a request wanted it */
  gint64 fewest;       /* one with N_DOUBTFUL parts did */
};

/* A part that crashes make suspect.  */
struct suspects_part
{
  guint64 key;
  guint weight; /* the highest that a crash gives it */
  /* Of the latest crash that does: */
  gint64 at;
  gboolean own;
};

/* A part on which a server has written.  */
struct suspects_sound_part
{
  guint64 key;
  gint64 at; /* the last time */
};

struct suspects
{
  struct suspects_options options;
  GRand *rand;
  struct suspects_crash crashes[SUSPECTS_CRASHES_MAX];
  guint n_crashes;
  gint64 last_crash_at;
  guint64 n_changes;
  struct suspects_part parts[SUSPECTS_CRASHES_MAX * PROMPT_PARTS_MAX];
  guint n_parts;
  GHashTable *index; /* key: struct suspects_part in PARTS */
  struct suspects_broken broken[SUSPECTS_BROKEN_MAX];
  guint n_broken;
  GQueue attempts; /* of struct suspects_attempt, borrowed */
  struct suspects_claim claims[SUSPECTS_CLAIMS_MAX];
  guint n_claims;
  GHashTable *peers;               /* IP: struct peer_trials, owned */
  gboolean told_trials;            /* the last message to a peer had some */
  gboolean loaded;                 /* what was saved before */
  gboolean saving_fails;           /* at present */
  guint64 held[SUSPECTS_HELD_MAX]; /* keys of the held parts */
  guint n_held;
  /* By their keys: parts of prompts, then fingerprints. */
  struct suspects_sound_part
      sound[SUSPECTS_SOUND_MAX + SUSPECTS_SOUND_REQUESTS_MAX];
};

struct suspects_crash *suspects_add_crash (struct suspects *suspects);
void suspects_note_changed (struct suspects *suspects, gboolean own);
void suspects_tell (const struct suspects *suspects, gboolean own);
guint suspects_weight_of (const struct suspects *suspects, guint64 key);
guint suspects_most_suspected (const struct suspects *suspects,
                               const struct prompt_parts *parts,
                               const gboolean *cleared, guint *weight);
guint64 suspects_trial_key (const struct suspects *suspects,
                            const struct prompt_parts *parts, gboolean begun,
                            guint *weight);
const struct suspects_part *suspects_find_part (const struct suspects *suspects,
                                                guint64 key);
gboolean suspects_needs_trial (const struct suspects *suspects, guint64 key);
gboolean suspects_is_held (const struct suspects *suspects, guint64 key);
gint64 suspects_hold_us (guint weight);
guint suspects_highest_weight (const struct suspects_crash *crash);
const char *suspects_kind_name (guint64 key);
void suspects_log_part (const char *event, guint64 key, guint weight);

gint64 suspects_kept_us (const struct suspects_crash *crash);
struct suspects_crash *suspects_find_crash (struct suspects *suspects,
                                            guint64 id);
gboolean suspects_is_storable (const struct suspects_crash *crash);
gboolean suspects_want_saved (struct suspects *suspects,
                              const struct prompt_parts *parts, gint64 now);

/* Trials and claims of them. */
void suspects_trials_init (struct suspects *suspects);
void suspects_trials_free (struct suspects *suspects);
void suspects_drop_claim (struct suspects *suspects, guint64 part);
gboolean suspects_expire_claims (struct suspects *suspects, gint64 now);
gboolean suspects_is_sound (const struct suspects *suspects, guint64 key,
                            gint64 now);
void suspects_note_sound (struct suspects *suspects,
                          const struct prompt_parts *parts, gboolean complete,
                          gint64 now);

#endif
