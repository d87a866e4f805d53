/* The reverse proxy: accepts HTTP requests from clients, finds the route by
   host and path, and forwards each request to a backend server of one of the
   route's services.  */
#ifndef REVERSE_PROXY_H
#define REVERSE_PROXY_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/histogram.h"
#include "fleet/registry.h"
#include "fleet/freshness.h"
#include "policy/crash_suspects.h"
#include "policy/server_reach.h"
#include "gate/header_names.h"
#include "route/routing_table.h"
#include "sched/retry_budget.h"
#include "sched/scheduler.h"
#include "streams/stream_versions.h"

struct reverse_proxy;

/* Another instance.  */
struct proxy_peer
{
  char address[ERR_PEER_MAX]; /* for clients, IP:PORT */
};

/* Limits that may change while the proxy runs.  */
struct proxy_limits
{
  struct retry_budget_options budget; /* of retries, for each service */
  /* Highest configuration age at which team keys are accepted; 0: no limit. */
  gint64 key_freshness_limit_us;
  /* Longest time from the request for a shutdown to the end of the process; 0:
     no limit. */
  gint64 shutdown_limit_us;
};

/* What a request has asked of a service. */
struct proxy_usage
{
  const char *service;     /* borrowed */
  const char *team;        /* borrowed; NULL: no request of a team is counted */
  guint64 requests;        /* whose first token or response has come */
  guint64 uncached_tokens; /* of the prompt, as placement has estimated */
  guint64 output_tokens;
  guint64 rejections; /* for overload */
};

struct proxy_options
{
  const char *listen;                      /* address for clients, IP:PORT */
  const struct header_names *header_names; /* borrowed */
  const struct clk *clk; /* runs on while the machine is suspended; borrowed */
  struct counter_set *counter_set;     /* borrowed */
  struct histogram_set *histogram_set; /* borrowed */
  const char *chart; /* path of exchange.chart, not used after the call */
  struct registry *registry;        /* borrowed */
  struct scheduler *scheduler;      /* borrowed */
  struct suspects *suspects;        /* borrowed; NULL: no part is held */
  struct stream_versions *versions; /* borrowed; NULL: streams begin and go on
                                       at any version of the software */
  struct proxy_limits limits;
  gsize memory_limit; /* bytes kept for clients and servers; 0: no limit */
  void (*shutdown_done) (
      void *ctx); /* the shutdown is complete, or its limit is almost reached */
  /* A request with a prompt is about to be sent to SERVER, AT_HOME as in struct
     placement_choice. May be NULL. */
  void (*request_sent) (void *ctx, const struct registry_server *server,
                        const struct prefix_prompt *prompt, gboolean at_home);
  /* A brittle server has turned a request away, which the other instances are
     to know at once. May be NULL. */
  void (*brittle_full) (void *ctx);
  /* A request has used a service, now. May be NULL. */
  void (*used) (void *ctx, const struct proxy_usage *usage);
  /* Returns a lower bound of the clock time at which another instance was
     last sure to reach servers; 0: unknown. NULL: there is no other instance.
   */
  gint64 (*peers_sure_at) (void *ctx);
  /* Chooses an instance that reaches servers, other than the N_TRIED
     ones in TRIED. Returns FALSE if there is none. May be NULL. */
  gboolean (*choose_peer) (void *ctx, const struct proxy_peer *tried,
                           guint n_tried, struct proxy_peer *peer);
  void *ctx;
};

int proxy_new (const struct proxy_options *options,
               struct reverse_proxy **result, struct err *err);
void proxy_free (struct reverse_proxy *reverse_proxy);
void proxy_set_limits (struct reverse_proxy *reverse_proxy,
                       const struct proxy_limits *limits);
void proxy_set_table (struct reverse_proxy *reverse_proxy,
                      struct routing_table *routing_table);
void proxy_confirm_version (struct reverse_proxy *reverse_proxy,
                            guint64 version, gint64 requested_at);
guint64 proxy_config_version (const struct reverse_proxy *reverse_proxy);
gint64 proxy_config_age (const struct reverse_proxy *reverse_proxy, gint64 now);
void proxy_set_instances (struct reverse_proxy *reverse_proxy, guint instances);
void proxy_server_changed (struct reverse_proxy *reverse_proxy,
                           const struct registry_change *change);
void proxy_poll (struct reverse_proxy *reverse_proxy);
void proxy_shut_down (struct reverse_proxy *reverse_proxy, gint64 requested_at);
guint proxy_port (const struct reverse_proxy *reverse_proxy);
void proxy_find_servers (struct reverse_proxy *reverse_proxy);
const struct server_reach *
proxy_reach (const struct reverse_proxy *reverse_proxy);
gboolean proxy_is_ready (const struct reverse_proxy *reverse_proxy);
void proxy_dump (const struct reverse_proxy *reverse_proxy, JsonBuilder *json);
void proxy_gauges (const struct reverse_proxy *reverse_proxy, GString *out);

#endif
