/* What cft.c and follower_update.c share; not for others.  */
#ifndef FOLLOWER_INTERNAL_H
#define FOLLOWER_INTERNAL_H

#include "config/follower.h"

/* Exponential backoff with jitter. */
struct follower_backoff
{
  guint failures; /* in a row */
  gint64 next;    /* clock time of the next try, microseconds */
};

struct follower
{
  const struct clk *clk;
  GRand *rand;
  struct ctr *ctr; /* NULL: not counted */
  char object[STO_NAME_MAX];
  void (*store) (void *ctx, guint64 token, const struct sto_call *call);
  gboolean (*accept) (void *ctx, guint64 version, GBytes *body,
                      enum follower_source source);
  void (*request) (void *ctx, const char *peer, guint64 version);
  void *ctx;

  guint64 version;  /* in force; 0: none */
  GBytes *body;     /* in force; NULL: none */
  guint64 rejected; /* highest version that failed its check */
  gint64 started;   /* clock time, microseconds */

  gboolean watcher;
  guint64 read_token;  /* token of the read or watch under way; 0: none */
  enum sto_op read_op; /* of it */
  gint64 read_started; /* clock time, microseconds */
  struct follower_backoff read_backoff;

  gint64 peer_version_at; /* clock time when a peer had a version; 0: never */
  gint64 requested_at;    /* clock time of the last ask; 0: never */

  guint64 last_token;
  GPtrArray *updates; /* of struct pending_update, in progress */
};

guint64 follower_call (struct follower *follower, enum sto_op op,
                       guint64 expected, GBytes *body);
gboolean follower_apply (struct follower *follower, guint64 version,
                         GBytes *body, enum follower_source source);
void follower_backoff_fail (struct follower *follower,
                            struct follower_backoff *backoff,
                            gint64 retry_after_us);
void follower_backoff_reset (struct follower_backoff *backoff);
gint64 follower_time_limit (enum sto_op op);

gboolean follower_update_complete (struct follower *follower, guint64 token,
                                   const struct sto_answer *response);
void follower_update_tick (struct follower *follower);
void follower_update_cancel_all (struct follower *follower);

#endif
