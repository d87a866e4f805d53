/* Shared by the files of placement only: placement.c chooses a server,
   placement_cost.c estimates what each server would cost.  */
#ifndef PLACEMENT_INTERNAL_H
#define PLACEMENT_INTERNAL_H

#include "sched/placement.h"

/* Share of the time left until the target that may pass before the first event
   without being charged as late. */
#define FIRST_EVENT_SLACK_SHARE 0.5
/* Share of a prompt's shared tokens that its preferred server is assumed to
   have cached; scaled by the share of prefixes that are reused. */
#define PREFERRED_CACHED_SHARE 0.7

/* Order in which engines are compared for a request, by how well they suit it.
   Engines of one class are ordered by rendezvous score. An engine matches if
   it is in the pool for the request's kind of stream, or if it is outside of
   the pools and the request is anything else.  */
enum placement_preference
{
  PLACEMENT_NEAR_MATCH,   /* match, in the own domain or at an equal distance */
  PLACEMENT_NEAR,         /* as near, no match */
  PLACEMENT_REGION_MATCH, /* match, elsewhere in the region */
  PLACEMENT_REGION,       /* elsewhere in the region, no match */
  PLACEMENT_REMOTE        /* in another region */
};

/* A server that may be used for the request.  */
struct placement_candidate
{
  struct registry_server *server;
  struct server_load load;
  enum topology_distance distance;
  guint64 rank;        /* hash of the id; all instances order engines by it */
  guint cached_tokens; /* estimated tokens of the prompt that it has cached */
  gboolean adds_copy;  /* neither the preferred server nor estimated to have the
                          prefix cached: it would cache another copy */
  gboolean is_preferred;    /* preferred for the prefix, own region */
  gboolean no_local_server; /* no server of the own domain may be used */
  gboolean reserved;        /* among the first by rank in its domain, which the
                               sensitive pool takes as it grows */
  guint expected_cached; /* CACHED_TOKENS, or what a preferred server is assumed
                            to have cached */
  gboolean in_sensitive_pool;
  gboolean in_isolated_pool; /* then not in the sensitive pool */
  gboolean guarded; /* in the isolated pool, next to be in it, or isolated
                       streams run there */
  gboolean slow; /* at the moment, against the others; of an isolated stream's
                    candidates */
  gboolean trial_running; /* its only request after a backoff is in progress */
  gint64 limit_wait_us;   /* until the limit that it has named allows this
                             instance a request; 0: now */
  double limited_per_s; /* requests a second that it allows this instance; 0: no
                           limit */
  gint64 brittle_wait_us; /* until this instance may probably have a further
                             request there, if it is brittle; 0: now */
  enum placement_preference preference;
  guint64 rendezvous_score; /* of the request's affinity hash and the engine;
                               the lowest wins */
};

/* What the request would cost at a candidate.  */
struct placement_estimate
{
  double first_event_us; /* predicted time to the first event */
  double cost;           /* in microseconds */
  guint prefill_tokens;  /* tokens to be prefilled at the engine */
  guint fetched_tokens;  /* tokens to be fetched from another engine */
  gboolean full;
  double capacity_wait_us;   /* predicted wait for capacity; 0: none */
  gboolean delays_streams;   /* latency-sensitive ones */
  gboolean breaks_isolation; /* a stream outside the pool for its kind, or late
                                there, or another long prompt in the pool */
};

struct placement_estimate
placement_estimate_plain (const struct placement_request *request,
                          const struct placement_candidate *c);
struct placement_estimate placement_estimate_engine (
    const struct placement_view *view, const struct placement_request *request,
    const struct placement_candidate *c, guint best_cached);

#endif
