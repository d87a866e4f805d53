/* The backend servers of one cell as its owner knows them.  */
#ifndef SHARD_SERVER_H
#define SHARD_SERVER_H

#include "cell/shard.h"
#include "cell/queued_request.h"
#include "config/cfg.h"
#include "policy/hea.h"
#include "policy/lim.h"

struct shard_server
{
  struct cfg_backend cfg; /* copy of the configuration's entry */
  guint slot;             /* its number in the table of prefixes */
  double scale;           /* of the limit, by the preset */
  gboolean engine;        /* streams tokens; otherwise a plain service */
  gboolean gone;          /* left the configuration; drops when idle */
  gboolean leaving;       /* by the list of servers or its own word */
  guint reserved;         /* slots kept for the tightest target */
  GQueue in_flight;       /* of struct tkt, granted or running */
  struct lim lim;
  struct hea hea;
  gint64 active; /* clock time of the last token, or of the first start */

  gint64 target_us;       /* tightest tbt target served; 0: none */
  gint64 target_seen;     /* clock time it was last served */
  guint peak;             /* most in flight in this and the last peak window */
  guint peak_before;      /* most in flight in the last peak window */
  gint64 peak_start;      /* clock time */
  struct shard_load load; /* last report */
  gint64 load_at;         /* clock time that its figures describe */
  guint foreign_at_load;  /* requests of others that it shows */
  guint foreign;          /* the same, discounted by age */
};

struct shard_server *server_new (const struct cfg_backend *cfg, gboolean engine,
                                 gint64 now);
void server_free (struct shard_server *shard_server);
gboolean server_accepts (const struct shard_server *shard_server);
guint server_limit (const struct shard_server *shard_server);
guint server_free_slots (const struct shard_server *shard_server);
void server_add (struct shard_server *shard_server,
                 struct queued_request *queued_request, gint64 now);
void server_remove (struct shard_server *shard_server,
                    struct queued_request *queued_request);
void server_add_tokens (struct shard_server *shard_server, gint64 tbt_us,
                        guint tokens, gint64 now);
void server_add_result (struct shard_server *shard_server,
                        const struct queued_request *queued_request,
                        const struct msg_release *release);
void server_set_load (struct shard_server *shard_server,
                      const struct shard_load *load, gint64 now);
void server_tick (struct shard_server *shard_server, gint64 now);

#endif
