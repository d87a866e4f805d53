/* Requests that may crash backend servers. Those that were on a server when it
   ended make what they share with others suspects: the parts of their prompts,
   and their fingerprints, which a request shares with its repeats only. A
   suspected part is tried by one request at a time; an event of a response
   clears the parts of its prompt, a complete response its fingerprints too. A
   part whose trials end server after server is held: requests with it are
   rejected. "Part" stands for both below.

   Instances exchange the crashes that they have seen and what has been cleared
   since. Both only grow, so the order in which news arrives does not matter.
   Crashes can be kept in a store, so that they are known when all instances
   have ended (crash_records.h).
   Does no I/O; times are clock times in microseconds.  */
#ifndef CRASH_SUSPECTS_H
#define CRASH_SUSPECTS_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "policy/prompt_parts.h"

#define SUSPECTS_TRIALS_MAX 16 /* of one instance that it tells */

/* X (NAME, "name"): what a broken attempt had got of its response  */
#define SUSPECTS_EVIDENCE(X)                                                   \
  X (BEGUN, "begun")     /* events of a stream */                              \
  X (HEAD, "head")       /* a stream's head, but no event */                   \
  X (NO_HEAD, "no_head") /* nothing of a stream */                             \
  X (PLAIN, "plain")     /* no complete response; it is no stream */

enum suspects_evidence
{
#define SUSPECTS_ENUM(id, name) SUSPECTS_##id,
  SUSPECTS_EVIDENCE (SUSPECTS_ENUM)
#undef SUSPECTS_ENUM
};

enum suspects_verdict
{
  SUSPECTS_FREE,
  SUSPECTS_TRIAL,   /* may be sent, alone among those with the suspected part */
  SUSPECTS_WAIT,    /* a trial or a check of a server is in progress */
  SUSPECTS_UNSAVED, /* to be rejected: a trial is due, but what is known cannot
                       be saved first */
  SUSPECTS_HELD     /* to be rejected */
};

/* What a check of a server that has broken off an attempt has found out.  */
enum suspects_server_state
{
  SUSPECTS_SERVER_ENDED,
  SUSPECTS_SERVER_LIVES,
  SUSPECTS_SERVER_UNKNOWN /* no server could be reached */
};

/* A request that was on a server when the server ended. A part's weight is that
   of all crashes in a row that its trials have led to.  */
struct suspects_crash
{
  guint64 id;     /* random */
  guint64 server; /* key of the server's life */
  gint64 at;
  struct prompt_parts parts;
  guint8 weights[PROMPT_PARTS_MAX];
  gboolean cleared[PROMPT_PARTS_MAX]; /* a server has written on it since */
  /* Private. */
  guint64 changed; /* number of the last change */
  gboolean own;    /* seen here */
  gboolean tell;   /* changed here; otherwise a peer has told it */
  guint64 saved;   /* CHANGED of what the store is known to have; 0: nothing */
  gboolean wanted; /* a trial waits until it is saved */
};

/* An attempt at a server. Owned by its user.  */
struct suspects_attempt
{
  /* Private. */
  GList link;                       /* data is NULL: not in progress */
  const struct prompt_parts *parts; /* borrowed */
  guint64 server;                   /* key of its life */
  gint64 at;                        /* begin */
  gboolean begun;                   /* has got an event */
  guint8 weights[PROMPT_PARTS_MAX]; /* of the parts when it was sent */
};

#define SUSPECTS_ANY_SERVER 1 /* instead of a key: other parts may go there */

/* A suspected part that a server is being sent, or is to be.  */
struct suspects_trial
{
  guint64 part;
  guint64 server; /* key of its life; 0: none yet, a claim */
  guint32 order;  /* of a claim; the lowest goes first */
};

struct suspects_options
{
  guint32 seed;
  struct counter_set *counter_set; /* borrowed */
  /* Something has changed that peers or waiting requests should know of soon.
     May be NULL. */
  void (*changed) (void *ctx, gboolean own);
  /* A crash is to be saved now: a trial waits for it, or it is the further one
     of a series. NULL: crashes are not saved. */
  void (*save) (void *ctx);
  gint64 load_until; /* until what was saved is loaded, requests wait, but not
                        longer; 0: not at all */
  void *ctx;
};

/* Why a part is held.  */
struct suspects_held_evidence
{
  guint64 part; /* 0: none is held */
  guint weight;
  gint64 age_us; /* of its last crash */
};

struct suspects;

struct suspects *suspects_new (const struct suspects_options *options);
void suspects_free (struct suspects *suspects);
enum suspects_verdict suspects_check (struct suspects *suspects,
                                      const struct prompt_parts *parts,
                                      guint64 server, gint64 now);
gboolean suspects_is_active (const struct suspects *suspects);
gboolean suspects_takes_last_server (const struct suspects *suspects,
                                     const struct prompt_parts *parts);
gboolean suspects_was_trial (const struct suspects_attempt *attempt);
gboolean suspects_is_checking (const struct suspects *suspects, guint64 server);
gboolean suspects_has_ended (const struct suspects *suspects, guint64 server);
gboolean suspects_confirmed (const struct suspects *suspects,
                             const struct prompt_parts *parts);
struct suspects_held_evidence
suspects_held_evidence (const struct suspects *suspects,
                        const struct prompt_parts *parts, gint64 now);
gint64 suspects_held_until (const struct suspects *suspects,
                            const struct prompt_parts *parts, gint64 now);
void suspects_begin (struct suspects *suspects,
                     struct suspects_attempt *attempt,
                     const struct prompt_parts *parts, guint64 server,
                     gint64 now);
void suspects_wrote (struct suspects *suspects,
                     struct suspects_attempt *attempt, gint64 now);
void suspects_completed (struct suspects *suspects,
                         struct suspects_attempt *attempt, gint64 now);
void suspects_end (struct suspects *suspects, struct suspects_attempt *attempt);
gboolean suspects_broke (struct suspects *suspects,
                         struct suspects_attempt *attempt,
                         enum suspects_evidence evidence, gint64 now);
void suspects_server_checked (struct suspects *suspects, guint64 server,
                              enum suspects_server_state state, gint64 now);
void suspects_expire (struct suspects *suspects, gint64 now);

/* Exchange with other instances.  */
guint64 suspects_n_changes (const struct suspects *suspects);
guint suspects_changes_since (const struct suspects *suspects, guint64 since,
                              gboolean all, const struct suspects_crash **found,
                              guint max, guint parts_max, guint64 *through);
void suspects_merge (struct suspects *suspects,
                     const struct suspects_crash *crash);
guint suspects_trials (struct suspects *suspects, struct suspects_trial *trials,
                       guint max, gint64 now);
void suspects_set_peer_trials (struct suspects *suspects, guint32 peer,
                               const struct suspects_trial *trials, guint n,
                               gint64 now);
void suspects_dump (const struct suspects *suspects, JsonBuilder *json,
                    gint64 now);

#endif
