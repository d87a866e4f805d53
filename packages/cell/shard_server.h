/* A backend server as its shard's owner sees it: requests in flight, adaptive
   concurrency limit, health and load reports.  */
#ifndef SHARD_SERVER_H
#define SHARD_SERVER_H

#include "cell/shard.h"
#include "cell/queued_request.h"
#include "config/cluster_config.h"
#include "policy/server_health.h"
#include "policy/concurrency_limit.h"

struct shard_server
{
  struct cluster_backend cfg; /* copy of the server's configuration */
  guint affinity_index; /* index of the server in the prefix affinity table */
  double limit_scale; /* factor on the adaptive limit, from the configuration */
  /* Inference engine that streams tokens; otherwise a plain service. */
  gboolean engine;
  gboolean removed; /* no longer in the configuration; freed when nothing is in
                       flight */
  gboolean leaving; /* by the server registry or the server's own response */
  guint reserved;   /* slots reserved for the tightest target; see
                       shard_reservation.c */
  GQueue in_flight; /* of struct queued_request, granted or running */
  struct concurrency_limit limiter;
  struct server_health health;
  /* Clock time of the last token, or of the first start after idleness. */
  gint64 last_active;

  /* Tightest target of the requests served, microseconds between tokens; 0:
     none. */
  gint64 target_us;
  /* Clock time at which a request with this target was last in flight. */
  gint64 target_at;
  guint peak;          /* most requests in flight in the current peak window */
  guint previous_peak; /* most requests in flight in the previous peak window */
  gint64 peak_start;   /* clock time of the current window's start */
  struct shard_load load; /* last report */
  gint64 load_at;         /* clock time that the values of load describe */
  guint foreign_at_load;  /* requests in the last report that this owner did not
                             send */
  guint foreign;          /* foreign_at_load, discounted by the report's age */
};

struct shard_server *server_new (const struct cluster_backend *cfg,
                                 gboolean engine, gint64 now);
void server_free (struct shard_server *server);
gboolean server_accepts (const struct shard_server *server);
guint server_limit (const struct shard_server *server);
guint server_free_slots (const struct shard_server *server);
void server_add (struct shard_server *server, struct queued_request *request,
                 gint64 now);
void server_remove (struct shard_server *server,
                    struct queued_request *request);
void server_add_tokens (struct shard_server *server, gint64 tbt_us,
                        guint tokens, gint64 now);
void server_add_result (struct shard_server *server,
                        const struct queued_request *request,
                        const struct msg_release *release);
void server_set_load (struct shard_server *server,
                      const struct shard_load *load, gint64 now);
void server_tick (struct shard_server *server, gint64 now);

#endif
