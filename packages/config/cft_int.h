/* What cft.c and cft_update.c share; not for others.  */
#ifndef CFT_INT_H
#define CFT_INT_H

#include "config/cft.h"

/* Exponential backoff with jitter. */
struct cft_backoff
{
  guint failures; /* in a row */
  gint64 next;    /* clock time of the next try, microseconds */
};

struct cft
{
  const struct clk *clk;
  GRand *rand;
  struct ctr *ctr; /* NULL: not counted */
  char object[STORAGE_NAME_MAX];
  void (*store) (void *ctx, guint64 token, const struct storage_request *call);
  gboolean (*accept) (void *ctx, guint64 version, GBytes *body,
                      enum cft_source source);
  void (*ask) (void *ctx, const char *peer, guint64 version);
  void *ctx;

  guint64 version;  /* in force; 0: none */
  GBytes *body;     /* in force; NULL: none */
  guint64 rejected; /* highest version that failed its check */
  gint64 started;   /* clock time, microseconds */

  gboolean watcher;
  guint64 reading;         /* token of the read or watch under way; 0: none */
  enum storage_op read_op; /* of it */
  gint64 read_started;     /* clock time, microseconds */
  struct cft_backoff read_backoff;

  gint64 peer_heard; /* clock time when a peer had a version; 0: never */
  gint64 asked;      /* clock time of the last ask; 0: never */

  guint64 last_token;
  GPtrArray *updates; /* of struct cft_upd, in progress */
};

guint64 cft_call (struct cft *cft, enum storage_op op, guint64 expected,
                  GBytes *body);
gboolean cft_take (struct cft *cft, guint64 version, GBytes *body,
                   enum cft_source source);
void cft_backoff_fail (struct cft *cft, struct cft_backoff *backoff,
                       gint64 retry_after_us);
void cft_backoff_reset (struct cft_backoff *backoff);
gint64 cft_time_limit (enum storage_op op);

gboolean cft_update_answer (struct cft *cft, guint64 token,
                            const struct storage_response *answer);
void cft_update_tick (struct cft *cft);
void cft_update_end_all (struct cft *cft);

#endif
