#include "sched/placement_internal.h"

/* Load patterns answered:
   - Long prompts next to streams that must not pause. An engine reads prompts
     in chunks between the tokens of its running requests, so a long prompt
     holds up every stream there. Streams with short pauses are kept together
     on a few engines of each failure domain, in an order that all instances
     agree on without a message, and long prompts go elsewhere while there is
     room elsewhere.
   - Engines that come back, empty, or look empty to others for a moment, while
     many instances have long prompts waiting. Beyond a short time of reading
     ahead, an engine takes prompts from one instance of its domain at a time;
     the turn goes round, and whoever is next has seen what the others sent.
     Instances of other domains need a turn in any case.
   - Bursts. Cost rises with what an engine still has to read, so that load
     spreads over the domain first, then over the region, then beyond.  */

#define LONG_PREFILL_TOKENS                                                    \
  1500 /* to be read; a prompt of more holds streams up */
#define DECODE_STEP_US 5000.0  /* of an engine that makes tokens only */
#define FETCH_COST_SHARE 0.12  /* cost of fetching a token, of reading it */
#define FETCH_MIN_TOKENS 256   /* fewer are read faster than fetched */
#define REGION_COST_US 8000.0  /* cost of another domain of the region */
#define REMOTE_COST_US 30000.0 /* cost of another region, besides its way */
#define REMOTE_ROUND_TRIP_US 70000.0 /* round trip to another region */
#define REGION_ROUND_TRIP_US 3000.0  /* round trip within the region */
#define BYTE_COST_US 0.5             /* cost of a byte sent to another domain */
#define PENDING_COST_SHARE 0.15      /* cost of reading ahead, while in time */
#define LATE_FACTOR 3.0              /* cost of each microsecond beyond */
#define SENSITIVE_GAP_US 400000 /* streams with pauses up to this are tight */
#define PACED_GAP_US 700000     /* and up to this are paced */
#define SENSITIVE_PREFILL_US                                                   \
  200000.0 /* of reading in a row that a tight stream bears */
#define INSTANCES_PER_RUN                                                      \
  2.0 /* instances of a domain that share one such run */
#define PACED_PREFILL_US 400000.0 /* the same for a paced one */
#define SENSITIVE_DELAY_COST_US                                                \
  150000.0 /* cost of holding a tight stream up too long                       \
            */
#define PACED_DELAY_COST_US 80000.0 /* the same for a paced one */
#define POOL_PREFILL_COST_US                                                   \
  60000.0 /* cost of a long prompt in the tight pool, where                    \
             streams will come */
#define OUTSIDE_POOL_COST_US                                                   \
  100000.0 /* cost of a tight stream outside, where long                       \
              prompts will come */
#define PENDING_LIMIT_US                                                       \
  450000.0 /* of reading ahead at one engine; with more it would read without  \
              a pause, and the streams there would come to a halt */
#define LOW_PENDING_US                                                         \
  250000.0 /* of reading ahead up to which all instances may add to it; more   \
              than what others may have sent unseen */
#define MEMORY_FILL_SHARE 0.9 /* of an engine's memory that is given away */
#define BATCH_SLOT_WAIT_US                                                     \
  20000.0                       /* until an engine's full batch loses one      \
                                 */
#define MEMORY_WAIT_US 200000.0 /* until a full memory has room, about */
#define STREAM_END_WAIT_US                                                     \
  500000.0 /* until tight streams have ended, about                            \
            */
#define PLAIN_REQUEST_US                                                       \
  15000.0 /* cost of a request ahead at a plain server                         \
           */

static double
round_trip_us (enum topology_distance distance)
{
  switch (distance)
    {
    case TOPOLOGY_SAME_DOMAIN:
      return 1000.0;
    case TOPOLOGY_SAME_REGION:
      return REGION_ROUND_TRIP_US;
    case TOPOLOGY_OTHER_REGION:
      break;
    }
  return REMOTE_ROUND_TRIP_US;
}

static double
distance_cost (const struct placement_request *request,
               enum topology_distance distance)
{
  double bytes = BYTE_COST_US * (double)request->body_bytes;
  switch (distance)
    {
    case TOPOLOGY_SAME_DOMAIN:
      return 0;
    case TOPOLOGY_SAME_REGION:
      return REGION_COST_US + bytes;
    case TOPOLOGY_OTHER_REGION:
      break;
    }
  return REMOTE_COST_US + bytes;
}

/* What a request costs at a plain server.  */
struct placement_estimate
placement_estimate_plain (const struct placement_request *request,
                          const struct placement_candidate *c)
{
  struct placement_estimate e = { 0 };
  guint slots = MAX (c->server->entry.slots, 1);
  double pending_us = PLAIN_REQUEST_US * c->load.requests / slots;
  e.first_event_us = round_trip_us (c->distance) + pending_us;
  e.cost = pending_us + distance_cost (request, c->distance);
  e.full = c->load.requests >= 2 * slots;
  if (e.full)
    e.capacity_wait_us
        = PLAIN_REQUEST_US * (c->load.requests - 2 * slots + 1) / slots;
  return e;
}

/* Tells how much a stream with pauses of GAP_US at most minds pauses.  */
enum placement_pace
placement_pace (gint64 gap_us)
{
  if (gap_us <= 0 || gap_us > PACED_GAP_US)
    return PLACEMENT_UNPACED;
  return gap_us > SENSITIVE_GAP_US ? PLACEMENT_PACED : PLACEMENT_SENSITIVE;
}

/* How long an engine may read in a row beside tight streams, by what is known
   here. The other instances of the domain place at the same moment, unseen, so
   each takes a part of it.  */
static double
sensitive_prefill_limit_us (const struct placement_view *view)
{
  return SENSITIVE_PREFILL_US
         / MAX (1.0, view->self.domain_instances / INSTANCES_PER_RUN);
}

/* An engine that reads RUN_US in a row holds up the streams that run there,
   and the request itself if it is one; those that cannot bear it are lost to
   their callers.  */
static double
stream_delay_cost (const struct placement_view *view,
                   const struct placement_request *request,
                   const struct placement_candidate *c, double prefill_us)
{
  enum placement_pace pace = placement_pace (request->gap_us);
  double cost = 0;
  double sensitive_limit_us = c->in_sensitive_pool
                                  ? sensitive_prefill_limit_us (view)
                                  : SENSITIVE_PREFILL_US;
  if (prefill_us > sensitive_limit_us)
    cost += SENSITIVE_DELAY_COST_US
            * (c->load.sensitive + (pace == PLACEMENT_SENSITIVE));
  if (prefill_us > PACED_PREFILL_US)
    cost += PACED_DELAY_COST_US * (c->load.paced + (pace == PLACEMENT_PACED));
  return cost;
}

/* What putting the request among others of another kind will cost later.  */
static double
mixing_cost (const struct placement_view *view,
             const struct placement_request *request,
             const struct placement_candidate *c, guint prefill_tokens)
{
  if (placement_pace (request->gap_us) != PLACEMENT_SENSITIVE)
    return c->in_sensitive_pool && prefill_tokens > LONG_PREFILL_TOKENS
               ? POOL_PREFILL_COST_US
               : 0;
  double recent_tokens = (double)prefix_directory_recent_prefill (
      view->prefix_directory, c->server->number, view->now);
  return (c->in_sensitive_pool ? 0 : OUTSIDE_POOL_COST_US)
         + 0.25 * view->us_per_token * recent_tokens;
}

/* Time ahead costs little while the first event will be in time, and much
   beyond.  */
static double
wait_cost (const struct placement_request *request, double pending_us,
           double first_event_us)
{
  double slack_us = FIRST_EVENT_SLACK_SHARE * (double)request->left_us;
  double late = request->left_us > 0 ? MAX (first_event_us - slack_us, 0) : 0;
  return PENDING_COST_SHARE * pending_us + LATE_FACTOR * late;
}

/* Tells whether it is this instance's turn to send more long prompts to an
   engine: there is one instance in its domain whose turn it is, and beyond it
   one on average.  */
static gboolean
owns_time_slice (const struct placement_view *view,
                 const struct placement_candidate *c)
{
  const struct placement_self *self = &view->self;
  if (c->distance == TOPOLOGY_SAME_DOMAIN)
    return self->domain_instances <= 1
           || (c->rank + view->time_slice) % self->domain_instances
                  == self->domain_rank;
  guint64 x = placement_mix_bits (
      c->rank ^ placement_mix_bits (view->time_slice ^ self->hash));
  return x % self->all_instances == 0;
}

/* Tells whether this instance may send a long prompt to an engine that has
   AHEAD microseconds to read, as known. What is known of other domains is so
   old that a turn is needed there also for an engine that looks free; but for
   the home of a part, which few requests go to, and where the own domain has
   no engine at all.  */
static gboolean
may_send_long_prompt (const struct placement_view *view,
                      const struct placement_candidate *c, double pending_us)
{
  gboolean is_local = c->distance == TOPOLOGY_SAME_DOMAIN;
  gboolean is_exempt = is_local || c->is_preferred || c->takes_over
                       || view->self.has_direct_reports;
  gboolean has_low_pending = pending_us <= LOW_PENDING_US && !view->contended;
  if (view->self.all_instances <= 1 || (has_low_pending && is_exempt))
    return TRUE;
  return owns_time_slice (view, c)
         && (is_local || view->self.has_direct_reports
             || pending_us <= LOW_PENDING_US);
}

/* When an engine will have room: for its batch, for what it reads ahead, for
   the request's memory, and for streams that must not be held up. 0: now.  */
static double
capacity_wait_us (const struct placement_view *view,
                  const struct placement_request *request,
                  const struct placement_candidate *c,
                  const struct placement_estimate *e, double pending_us,
                  double prefill_us)
{
  const struct rtb_engine *engine = view->engine;
  guint batch = MAX (MIN (engine->batch, c->server->entry.slots), 1);
  guint64 needed = c->load.memory + e->prefill_tokens + request->output_tokens;
  double limit_us = MAX (PENDING_LIMIT_US, 1.5 * prefill_us);
  double wait_us = MAX (pending_us + prefill_us - limit_us, 0);
  if (e->prefill_tokens > LONG_PREFILL_TOKENS
      && !may_send_long_prompt (view, c, pending_us))
    wait_us = MAX (wait_us, PLACEMENT_SLICE_US);
  if (c->load.requests >= batch)
    wait_us
        = MAX (wait_us, BATCH_SLOT_WAIT_US * (c->load.requests + 1 - batch));
  if (engine->memory > 0 && c->load.requests > 0
      && (double)needed > MEMORY_FILL_SHARE * (double)engine->memory)
    wait_us = MAX (wait_us, MEMORY_WAIT_US);
  if (e->delays_streams)
    wait_us = MAX (wait_us, prefill_us > sensitive_prefill_limit_us (view)
                                ? STREAM_END_WAIT_US
                                : pending_us + prefill_us
                                      - sensitive_prefill_limit_us (view));
  return wait_us;
}

/* What a request costs at an engine; BEST_HELD of its tokens can be fetched
   from another.  */
struct placement_estimate
placement_estimate_engine (const struct placement_view *view,
                           const struct placement_request *request,
                           const struct placement_candidate *c,
                           guint best_cached)
{
  struct placement_estimate e = { 0 };
  const struct rtb_engine *engine = view->engine;
  guint batch = MAX (MIN (engine->batch, c->server->entry.slots), 1);
  guint missing
      = best_cached > c->expected_cached ? best_cached - c->expected_cached : 0;
  e.fetched_tokens
      = engine->fetches && missing >= FETCH_MIN_TOKENS ? missing : 0;
  e.prefill_tokens
      = request->prompt_tokens
        - MIN (request->prompt_tokens, c->expected_cached + e.fetched_tokens);
  double pending_us = view->us_per_token * (double)c->load.prefill_tokens;
  double prefill_us = view->us_per_token * e.prefill_tokens;
  double fetch_us = FETCH_COST_SHARE * view->us_per_token * e.fetched_tokens;
  double queue_us = c->load.requests >= batch
                        ? DECODE_STEP_US * 50.0 * (c->load.requests + 1 - batch)
                        : 0;
  e.first_event_us = round_trip_us (c->distance) + pending_us + prefill_us
                     + fetch_us + queue_us
                     + DECODE_STEP_US * MAX (engine->stride, 1);
  double copy_cost = c->adds_copy
                         ? PREFERRED_CACHED_SHARE * view->us_per_token
                               * prefix_shared_tokens (&request->prompt)
                         : 0;
  e.cost = prefill_us + fetch_us + queue_us + copy_cost
           + wait_cost (request, pending_us, e.first_event_us)
           + stream_delay_cost (view, request, c, pending_us + prefill_us)
           + distance_cost (request, c->distance)
           + mixing_cost (view, request, c, e.prefill_tokens);
  e.delays_streams
      = placement_pace (request->gap_us) != PLACEMENT_SENSITIVE
        && c->in_sensitive_pool && c->load.sensitive > 0
        && pending_us + prefill_us > sensitive_prefill_limit_us (view);
  e.capacity_wait_us
      = capacity_wait_us (view, request, c, &e, pending_us, prefill_us);
  e.full = e.capacity_wait_us > 0 && !e.delays_streams;
  return e;
}
