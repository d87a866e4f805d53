#include "sched/placement_internal.h"

#include "base/hash.h"

#include <math.h>

/* Estimates what a request costs at each server. The costs address these load
   patterns:
   - Long prompts next to streams that must not pause. An engine prefills
     prompts in chunks between the decoding steps of its running requests, so a
     long prompt delays every stream there. Latency-sensitive streams are
     therefore kept together in a pool of a few engines of each failure domain.
     All instances derive the same order of the engines without exchanging
     messages. Long prompts go to other engines while those have capacity.
   - Engines that return with an empty queue, or seem idle for a moment, while
     many instances have long prompts queued. Once an engine has more than a
     short time of prefill pending, only one instance of its domain may send it
     long prompts at a time. The time slices rotate, and by the next slice an
     instance has learned what the others sent. Instances of other domains need
     a time slice in any case.
   - Bursts. The cost rises with the prefill that is pending at an engine, so
     that load spreads over the own domain first, then over the region, then
     over other regions.  */

/* Pending prefill tokens above which a prompt delays the streams of an
   engine. */
#define LONG_PREFILL_TOKENS 1500
#define DECODE_STEP_US 5000.0 /* duration of a step that only decodes */
#define FETCH_COST_SHARE                                                       \
  0.12 /* cost of fetching a token relative to prefilling it */
/* Prefilling fewer tokens is faster than fetching them. */
#define FETCH_MIN_TOKENS 256
#define PENDING_COST_SHARE                                                     \
  0.15 /* cost of pending prefill while the request is on time */
#define LATE_FACTOR 3.0 /* cost of each microsecond beyond that */
/* Streams with at most this inter-event gap are isolated. A step of a slow
   engine with one chunk of a long prompt takes up to 80 ms: an event of six
   steps exceeds 250 ms with three chunks, 400 ms only with five. */
#define ISOLATED_GAP_US 250000
/* Uncached tokens above which a prompt is kept out of the isolated pool: about
   7 ms of prefill, less than a chunk takes. */
#define ISOLATED_PROMPT_TOKENS 600
/* Uninterrupted prefill that an isolated stream tolerates, also on an engine
   that is 2.5 times slower for a moment. */
#define ISOLATED_PREFILL_US 50000.0
/* Cost of each isolated stream that runs on an engine, to spread them. Two of
   them cost less than EQUAL_COST_US in placement.c. */
#define ISOLATED_STREAM_COST_US 1500.0
/* Cost of an engine that is slow at the moment: that of 20 isolated streams. */
#define SLOW_ENGINE_COST_US 30000.0
/* Cost of a short prompt in the isolated pool, to use other engines first. */
#define ISOLATED_POOL_COST_US 20000.0
#define SENSITIVE_GAP_US                                                       \
  400000 /* streams with at most this inter-event gap are latency-sensitive */
#define PACED_GAP_US                                                           \
  700000 /* streams with at most this inter-event gap are paced */
/* Uninterrupted prefill that a latency-sensitive stream tolerates. */
#define SENSITIVE_PREFILL_US 200000.0
#define INSTANCES_PER_LIMIT                                                    \
  2.0 /* instances of a domain that together may use the full limit */
#define PACED_PREFILL_US 400000.0 /* the same limit for a paced stream */
#define SENSITIVE_DELAY_COST_US                                                \
  150000.0 /* cost of delaying a latency-sensitive stream beyond its limit */
#define PACED_DELAY_COST_US 80000.0 /* the same cost for a paced stream */
/* Cost of a long prompt in the pool, where latency-sensitive streams will be
   placed later. */
#define POOL_PREFILL_COST_US 60000.0
/* Cost of a latency-sensitive stream outside the pool, where long prompts will
   be placed later. */
#define OUTSIDE_POOL_COST_US 100000.0
/* Share of the recent prefill of an engine that a stream outside its pool is
   charged for; an isolated stream is charged for all of it. */
#define RECENT_PREFILL_SHARE 0.25
/* Prefill that may be pending at one engine. With more of it the engine would
   prefill without a pause and stall its streams. */
#define PENDING_LIMIT_US 450000.0
/* Pending prefill up to which every instance may add to an engine. It is more
   than other instances may have sent without this one knowing yet. */
#define LOW_PENDING_US 250000.0
#define MEMORY_FILL_SHARE                                                      \
  0.9 /* share of an engine's memory that is allocated */
#define BATCH_SLOT_WAIT_US                                                     \
  20000.0 /* estimated time until a full batch has a free slot */
#define MEMORY_WAIT_US                                                         \
  200000.0 /* estimated time until a full memory has room */
#define STREAM_END_WAIT_US                                                     \
  500000.0 /* estimated time until latency-sensitive streams have ended */
#define PLAIN_REQUEST_US                                                       \
  15000.0 /* cost of each earlier request at a plain server */

/* Estimates the cost of a request at a server without an engine.  */
struct placement_estimate
placement_estimate_plain (const struct placement_request *request,
                          const struct placement_candidate *c)
{
  struct placement_estimate e = { 0 };
  guint slots = MAX (c->server->entry.slots, 1);
  double pending_us = PLAIN_REQUEST_US * c->load.requests / slots;
  e.first_event_us = domain_exit_round_trip_us (c->distance) + pending_us;
  e.cost = pending_us + domain_exit_price_us (c->distance, request->body_bytes);
  e.full = c->load.requests >= 2 * slots;
  if (e.full)
    e.capacity_wait_us
        = PLAIN_REQUEST_US * (c->load.requests - 2 * slots + 1) / slots;
  return e;
}

/* Classifies a stream by the longest inter-event gap that it tolerates, GAP_US
   (0: any).  */
enum placement_pace
placement_pace (gint64 gap_us)
{
  if (gap_us <= 0 || gap_us > PACED_GAP_US)
    return PLACEMENT_UNPACED;
  if (gap_us > SENSITIVE_GAP_US)
    return PLACEMENT_PACED;
  return gap_us > ISOLATED_GAP_US ? PLACEMENT_SENSITIVE : PLACEMENT_ISOLATED;
}

/* Returns how long an engine of the pool may prefill without interruption
   beside latency-sensitive streams. The other instances of the domain place
   requests at the same time, without this one knowing, so each may use only a
   share of the limit. The short prompts of such streams are exempt: in a large
   domain the share is less than even one of them takes, and no stream would be
   placed in the pool.  */
static double
sensitive_prefill_limit_us (const struct placement_view *view,
                            const struct placement_request *request)
{
  enum placement_pace pace = placement_pace (request->gap_us);
  if (pace >= PLACEMENT_SENSITIVE)
    return pace == PLACEMENT_ISOLATED ? ISOLATED_PREFILL_US
                                      : SENSITIVE_PREFILL_US;
  if (request->may_break_isolation)
    return SENSITIVE_PREFILL_US;
  return SENSITIVE_PREFILL_US
         / MAX (1.0, view->self.domain_instances / INSTANCES_PER_LIMIT);
}

/* Returns the cost of delaying streams if the engine prefills for PREFILL_US
   without interruption. That delays the streams running there, and the request
   itself if it is a stream; clients give up streams that are delayed beyond
   their limit.  */
static double
stream_delay_cost (const struct placement_view *view,
                   const struct placement_request *request,
                   const struct placement_candidate *c, double prefill_us)
{
  enum placement_pace pace = placement_pace (request->gap_us);
  double cost = 0;
  double sensitive_limit_us = c->in_sensitive_pool || c->guarded
                                  ? sensitive_prefill_limit_us (view, request)
                                  : SENSITIVE_PREFILL_US;
  if (prefill_us > sensitive_limit_us)
    cost += SENSITIVE_DELAY_COST_US
            * (c->load.sensitive + (pace >= PLACEMENT_SENSITIVE));
  if (prefill_us > PACED_PREFILL_US)
    cost += PACED_DELAY_COST_US * (c->load.paced + (pace == PLACEMENT_PACED));
  return cost;
}

/* Returns the expected later cost of mixing the request with requests of the
   other kind: a long prompt in the pool for latency-sensitive streams, or such
   a stream outside of it. Outside, a stream is also charged a quarter of the
   engine's recent prefill, as a measure of the prefill to come. In the pool the
   recent prefill is that of other short prompts; charged, it would drive the
   streams of a busy domain out of the pool.  */
static double
mixing_cost (const struct placement_view *view,
             const struct placement_request *request,
             const struct placement_candidate *c, guint prefill_tokens)
{
  enum placement_pace pace = placement_pace (request->gap_us);
  if (pace < PLACEMENT_SENSITIVE && c->guarded)
    return ISOLATED_POOL_COST_US
           + (c->in_isolated_pool && prefill_tokens > ISOLATED_PROMPT_TOKENS
                  ? POOL_PREFILL_COST_US
                  : 0);
  if (pace < PLACEMENT_SENSITIVE)
    return c->in_sensitive_pool && prefill_tokens > LONG_PREFILL_TOKENS
               ? POOL_PREFILL_COST_US
               : 0;
  if (pace == PLACEMENT_ISOLATED && c->in_isolated_pool)
    return ISOLATED_STREAM_COST_US * c->load.isolated
           + (c->slow ? SLOW_ENGINE_COST_US : 0);
  if (pace == PLACEMENT_SENSITIVE && c->in_sensitive_pool)
    return 0;
  double recent_tokens = (double)directory_recent_prefill (
      view->prefix_directory, c->server->number, view->now);
  double share = pace == PLACEMENT_ISOLATED ? 1.0 : RECENT_PREFILL_SHARE;
  return OUTSIDE_POOL_COST_US + share * view->us_per_token * recent_tokens;
}

/* Returns the cost of waiting: low while the first event is expected in time,
   high for each microsecond beyond.  */
static double
wait_cost (const struct placement_request *request, double pending_us,
           double first_event_us)
{
  double slack_us = FIRST_EVENT_SLACK_SHARE * (double)request->left_us;
  double late = request->left_us > 0 ? MAX (first_event_us - slack_us, 0) : 0;
  double share = placement_pace (request->gap_us) == PLACEMENT_ISOLATED
                     ? 1.0
                     : PENDING_COST_SHARE;
  return share * pending_us + LATE_FACTOR * late;
}

/* Returns whether the request at C would break the isolation of streams: a
   stream that is not in a pool of the region for it, or would be late there, or
   another prompt with many uncached tokens in the pool.  */
static gboolean
breaks_isolation (const struct placement_request *request,
                  const struct placement_candidate *c,
                  const struct placement_estimate *e)
{
  if (placement_pace (request->gap_us) != PLACEMENT_ISOLATED)
    return c->guarded && e->prefill_tokens > ISOLATED_PROMPT_TOKENS;
  return !c->in_isolated_pool || c->distance == TOPOLOGY_OTHER_REGION
         || (request->left_us > 0
             && e->first_event_us > (double)request->left_us);
}

/* Returns whether the request must not go to C because of latency-sensitive
   streams that run there, if the engine then prefills for PREFILL_US.  */
static gboolean
delays_streams (const struct placement_view *view,
                const struct placement_request *request,
                const struct placement_candidate *c, double prefill_us)
{
  enum placement_pace pace = placement_pace (request->gap_us);
  gboolean is_guest = (c->in_sensitive_pool && pace < PLACEMENT_SENSITIVE)
                      || (c->guarded && pace < PLACEMENT_ISOLATED);
  return is_guest && c->load.sensitive > 0
         && prefill_us > sensitive_prefill_limit_us (view, request);
}

/* Returns the time at which an instance with N_WAITING queued requests arrives
   in a race whose outcome is random but the same at all instances. The first
   one owns the time slice, so each owns it with a probability proportional to
   what it has queued, and wins with it over all others, whichever of them a
   peer knows.  */
static double
race_time (guint64 slice_hash, guint64 instance_hash, guint n_waiting)
{
  guint64 x = hash_mix_bits (slice_hash ^ hash_mix_bits (instance_hash));
  double u = ((double)(x >> 11) + 0.5) / (double)(G_GUINT64_CONSTANT (1) << 53);
  return -log (u) / MAX (n_waiting, 1);
}

/* Returns whether this instance owns the current time slice of an engine of its
   domain among the instances that have requests queued. If the slices went to
   those without any too, most of an engine's time would pass unused while other
   instances wait.  */
static gboolean
wins_time_slice (const struct placement_view *view,
                 const struct placement_candidate *c)
{
  const struct placement_self *self = &view->self;
  guint64 slice_hash
      = c->rank ^ (view->time_slice * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15));
  double own = race_time (slice_hash, self->hash, view->n_waiting);
  for (guint i = 0; i < self->n_contenders; i++)
    if (race_time (slice_hash, self->contenders[i].hash,
                   self->contenders[i].n_waiting)
        < own)
      return FALSE;
  return TRUE;
}

/* Returns whether this instance owns the current time slice of an engine and
   may send it more long prompts. In the engine's domain exactly one instance
   owns it, in the other domains one instance on average.  */
static gboolean
owns_time_slice (const struct placement_view *view,
                 const struct placement_candidate *c)
{
  const struct placement_self *self = &view->self;
  if (c->distance == TOPOLOGY_SAME_DOMAIN && view->n_waiting > 0
      && self->contenders != NULL)
    return wins_time_slice (view, c);
  if (c->distance == TOPOLOGY_SAME_DOMAIN)
    return self->domain_instances <= 1
           || (c->rank + view->time_slice) % self->domain_instances
                  == self->domain_rank;
  guint64 x
      = hash_mix_bits (c->rank ^ hash_mix_bits (view->time_slice ^ self->hash));
  return x % self->all_instances == 0;
}

/* Returns whether this instance may send a long prompt to an engine that has
   an estimated PENDING_US of prefill pending. Load information from other
   domains is so old that a time slice is required there even if the engine
   seems idle. Exceptions are the preferred server of a prefix and those that
   have all of a large prefix cached, which few requests go to, and instances
   whose own domain has no usable server.  */
static gboolean
may_send_long_prompt (const struct placement_view *view,
                      const struct placement_request *request,
                      const struct placement_candidate *c, double pending_us)
{
  guint shared = prefix_shared_tokens (&request->prompt);
  gboolean is_local = c->distance == TOPOLOGY_SAME_DOMAIN;
  /* The rate at which an excess leaves is shared out already. */
  if (view->domain_exit != NULL && !is_local && !c->no_local_server
      && !view->may_leave_freely)
    return pending_us <= LOW_PENDING_US;
  gboolean has_prefix
      = shared >= PREFIX_LARGE_TOKENS && c->cached_tokens >= shared;
  gboolean is_exempt = is_local || c->is_preferred || has_prefix
                       || c->no_local_server || view->self.has_direct_reports;
  gboolean has_low_pending
      = pending_us <= LOW_PENDING_US && view->n_waiting == 0;
  if (view->self.all_instances <= 1 || (has_low_pending && is_exempt))
    return TRUE;
  return owns_time_slice (view, c)
         && (is_local || view->self.has_direct_reports
             || pending_us <= LOW_PENDING_US);
}

/* Predicts when an engine will have capacity for the request: a batch slot,
   little enough pending prefill, memory, and no latency-sensitive streams that
   it would delay. Returns 0 if it has capacity now.  */
static double
capacity_wait_us (const struct placement_view *view,
                  const struct placement_request *request,
                  const struct placement_candidate *c,
                  const struct placement_estimate *e, double pending_us,
                  double prefill_us)
{
  const struct routing_engine *engine = view->engine;
  guint batch = MAX (MIN (engine->batch, c->server->entry.slots), 1);
  guint64 needed = c->load.memory + e->prefill_tokens + request->output_tokens;
  /* A prompt that alone comes close to the limit is accepted while at most half
     of its own prefill time is pending. */
  double limit_us = MAX (PENDING_LIMIT_US, 1.5 * prefill_us);
  double wait_us = MAX (pending_us + prefill_us - limit_us, 0);
  /* Prompts that would be rejected otherwise are few. */
  gboolean is_exempt = placement_pace (request->gap_us) == PLACEMENT_ISOLATED
                           ? c->in_isolated_pool
                           : c->guarded && request->may_break_isolation;
  if (e->prefill_tokens > LONG_PREFILL_TOKENS && !is_exempt
      && !may_send_long_prompt (view, request, c, pending_us))
    wait_us = MAX (wait_us, PLACEMENT_SLICE_US);
  if (c->load.requests >= batch)
    wait_us
        = MAX (wait_us, BATCH_SLOT_WAIT_US * (c->load.requests + 1 - batch));
  if (engine->memory > 0 && c->load.requests > 0
      && (double)needed > MEMORY_FILL_SHARE * (double)engine->memory)
    wait_us = MAX (wait_us, MEMORY_WAIT_US);
  if (e->delays_streams)
    {
      double stream_limit_us = sensitive_prefill_limit_us (view, request);
      wait_us = MAX (wait_us, prefill_us > stream_limit_us
                                  ? STREAM_END_WAIT_US
                                  : pending_us + prefill_us - stream_limit_us);
    }
  return wait_us;
}

/* Estimates the cost of a request at an engine. BEST_CACHED is the number of
   its tokens that can be fetched from another engine.  */
struct placement_estimate
placement_estimate_engine (const struct placement_view *view,
                           const struct placement_request *request,
                           const struct placement_candidate *c,
                           guint best_cached)
{
  struct placement_estimate e = { 0 };
  const struct routing_engine *engine = view->engine;
  guint batch = MAX (MIN (engine->batch, c->server->entry.slots), 1);
  guint missing
      = best_cached > c->expected_cached ? best_cached - c->expected_cached : 0;
  e.fetched_tokens
      = engine->can_fetch_prefixes && missing >= FETCH_MIN_TOKENS ? missing : 0;
  e.prefill_tokens
      = request->prompt_tokens
        - MIN (request->prompt_tokens, c->expected_cached + e.fetched_tokens);
  double pending_us = view->us_per_token * (double)c->load.prefill_tokens;
  double prefill_us = view->us_per_token * e.prefill_tokens;
  double fetch_us = FETCH_COST_SHARE * view->us_per_token * e.fetched_tokens;
  /* A request waits 50 decoding steps for each one that the batch is over. */
  double queue_us = c->load.requests >= batch
                        ? DECODE_STEP_US * 50.0 * (c->load.requests + 1 - batch)
                        : 0;
  e.first_event_us = domain_exit_round_trip_us (c->distance) + pending_us
                     + prefill_us + fetch_us + queue_us
                     + DECODE_STEP_US * MAX (engine->stride, 1);
  double copy_cost = c->adds_copy
                         ? PREFERRED_CACHED_SHARE * view->us_per_token
                               * prefix_shared_tokens (&request->prompt)
                         : 0;
  e.cost = prefill_us + fetch_us + queue_us + copy_cost
           + wait_cost (request, pending_us, e.first_event_us)
           + stream_delay_cost (view, request, c, pending_us + prefill_us)
           + domain_exit_price_us (c->distance, request->body_bytes)
           + mixing_cost (view, request, c, e.prefill_tokens);
  e.breaks_isolation = breaks_isolation (request, c, &e);
  e.delays_streams = delays_streams (view, request, c, pending_us + prefill_us);
  e.capacity_wait_us
      = capacity_wait_us (view, request, c, &e, pending_us, prefill_us);
  e.full = e.capacity_wait_us > 0 && !e.delays_streams;
  return e;
}
