/* Declarations shared by follower.c and follower_update.c only.  */
#ifndef FOLLOWER_INTERNAL_H
#define FOLLOWER_INTERNAL_H

#include "config/follower.h"

/* Exponential backoff with jitter. */
struct follower_backoff
{
  guint failures; /* consecutive */
  gint64 next;    /* clock time of the next attempt, microseconds */
};

struct follower
{
  const struct clk *clk;
  GRand *rand;
  struct counter_set *counter_set; /* NULL: not counted */
  char object[STORAGE_NAME_MAX];
  void (*store) (void *ctx, guint64 token, const struct storage_request *call);
  gboolean (*accept) (void *ctx, guint64 version, GBytes *body,
                      enum follower_source source);
  void (*request) (void *ctx, const char *peer, guint64 version);
  void *ctx;

  guint64 version;  /* applied; 0: none */
  GBytes *body;     /* of the applied version; NULL: none */
  guint64 rejected; /* highest version that failed validation */
  gint64 started;   /* clock time of follower_new, microseconds */

  gboolean watcher;
  guint64 read_token;      /* of the read or watch in progress; 0: none */
  enum storage_op read_op; /* STORAGE_GET or STORAGE_WATCH */
  gint64 read_started;     /* clock time, microseconds */
  struct follower_backoff read_backoff;

  gint64 peer_version_at; /* clock time when a peer last reported a version */
  gint64 requested_at;    /* clock time of the last request to a peer */

  guint64 last_token;
  GPtrArray *updates; /* of struct pending_update *, in progress */
};

guint64 follower_call (struct follower *follower, enum storage_op op,
                       guint64 expected, GBytes *body);
gboolean follower_apply (struct follower *follower, guint64 version,
                         GBytes *body, enum follower_source source);
void follower_backoff_fail (struct follower *follower,
                            struct follower_backoff *backoff,
                            gint64 retry_after_us);
void follower_backoff_reset (struct follower_backoff *backoff);
gint64 follower_time_limit (enum storage_op op);

gboolean follower_update_complete (struct follower *follower, guint64 token,
                                   const struct storage_response *response);
void follower_update_tick (struct follower *follower);
void follower_update_cancel_all (struct follower *follower);

#endif
