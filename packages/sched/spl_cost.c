#include "sched/spl_int.h"

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

#define LONG_TOKENS 1500     /* to be read; a prompt of more holds streams up */
#define STEP_US 5000.0       /* of an engine that makes tokens only */
#define FETCH_SHARE 0.12     /* cost of fetching a token, of reading it */
#define FETCH_MIN_TOKENS 256 /* fewer are read faster than fetched */
#define REGION_US 8000.0     /* cost of another domain of the region */
#define FAR_US 30000.0       /* cost of another region, besides its way */
#define FAR_WAY_US 70000.0   /* round trip to another region */
#define NEAR_WAY_US 3000.0   /* round trip within the region */
#define BYTE_US 0.5          /* cost of a byte sent to another domain */
#define AHEAD_SHARE 0.15     /* cost of reading ahead, while in time */
#define LATE_FACTOR 3.0      /* cost of each microsecond beyond */
#define TIGHT_GAP_US 400000  /* streams with pauses up to this are tight */
#define PACED_GAP_US 700000  /* and up to this are paced */
#define TIGHT_RUN_US                                                           \
  200000.0               /* of reading in a row that a tight stream bears */
#define NEAR_PER_RUN 2.0 /* instances of a domain that share one such run */
#define PACED_RUN_US 400000.0 /* the same for a paced one */
#define TIGHT_HARM_US                                                          \
  150000.0                    /* cost of holding a tight stream up too long    \
                               */
#define PACED_HARM_US 80000.0 /* the same for a paced one */
#define POOL_US                                                                \
  60000.0 /* cost of a long prompt in the tight pool, where                    \
             streams will come */
#define OUTSIDE_US                                                             \
  100000.0 /* cost of a tight stream outside, where long                       \
              prompts will come */
#define UNREAD_LIMIT_US                                                        \
  450000.0 /* of reading ahead at one engine; with more it would read without  \
              a pause, and the streams there would come to a halt */
#define FREE_US                                                                \
  250000.0 /* of reading ahead up to which all instances may add to it; more   \
              than what others may have sent unseen */
#define MEMORY_SHARE 0.9      /* of an engine's memory that is given away */
#define BATCH_SLOT_US 20000.0 /* until an engine's full batch loses one */
#define MEMORY_US 200000.0    /* until a full memory has room, about */
#define STREAM_US 500000.0    /* until tight streams have ended, about */
#define PLAIN_SLOT_US 15000.0 /* cost of a request ahead at a plain server */

static double
way_us (enum top_distance distance)
{
  switch (distance)
    {
    case TOP_SAME_DOMAIN:
      return 1000.0;
    case TOP_SAME_REGION:
      return NEAR_WAY_US;
    case TOP_OTHER_REGION:
      break;
    }
  return FAR_WAY_US;
}

static double
distance_cost (const struct spl_request *request, enum top_distance distance)
{
  double bytes = BYTE_US * (double)request->body_bytes;
  switch (distance)
    {
    case TOP_SAME_DOMAIN:
      return 0;
    case TOP_SAME_REGION:
      return REGION_US + bytes;
    case TOP_OTHER_REGION:
      break;
    }
  return FAR_US + bytes;
}

/* What a request costs at a plain server.  */
struct spl_estimate
spl_estimate_plain (const struct spl_request *request,
                    const struct spl_candidate *c)
{
  struct spl_estimate e = { 0 };
  guint slots = MAX (c->server->entry.slots, 1);
  double ahead = PLAIN_SLOT_US * c->load.requests / slots;
  e.first_us = way_us (c->distance) + ahead;
  e.cost = ahead + distance_cost (request, c->distance);
  e.full = c->load.requests >= 2 * slots;
  if (e.full)
    e.room_us = PLAIN_SLOT_US * (c->load.requests - 2 * slots + 1) / slots;
  return e;
}

/* Tells how much a stream with pauses of GAP_US at most minds pauses.  */
enum spl_pace
spl_pace (gint64 gap_us)
{
  if (gap_us <= 0 || gap_us > PACED_GAP_US)
    return SPL_ANY;
  return gap_us > TIGHT_GAP_US ? SPL_PACED : SPL_TIGHT;
}

/* How long an engine may read in a row beside tight streams, by what is known
   here. The other instances of the domain place at the same moment, unseen, so
   each takes a part of it.  */
static double
tight_run_us (const struct spl_view *view)
{
  return TIGHT_RUN_US / MAX (1.0, view->self.near / NEAR_PER_RUN);
}

/* An engine that reads RUN_US in a row holds up the streams that run there,
   and the request itself if it is one; those that cannot bear it are lost to
   their callers.  */
static double
harm (const struct spl_view *view, const struct spl_request *request,
      const struct spl_candidate *c, double run_us)
{
  enum spl_pace pace = spl_pace (request->gap_us);
  double cost = 0;
  double tight_run = c->in_tight_pool ? tight_run_us (view) : TIGHT_RUN_US;
  if (run_us > tight_run)
    cost += TIGHT_HARM_US * (c->load.tight + (pace == SPL_TIGHT));
  if (run_us > PACED_RUN_US)
    cost += PACED_HARM_US * (c->load.paced + (pace == SPL_PACED));
  return cost;
}

/* What putting the request among others of another kind will cost later.  */
static double
mixing_cost (const struct spl_view *view, const struct spl_request *request,
             const struct spl_candidate *c, guint unread)
{
  if (spl_pace (request->gap_us) != SPL_TIGHT)
    return c->in_tight_pool && unread > LONG_TOKENS ? POOL_US : 0;
  double lately
      = (double)pdr_read_lately (view->pdr, c->server->number, view->now);
  return (c->in_tight_pool ? 0 : OUTSIDE_US)
         + 0.25 * view->us_per_token * lately;
}

/* Time ahead costs little while the first event will be in time, and much
   beyond.  */
static double
wait_cost (const struct spl_request *request, double ahead, double first_us)
{
  double free_us = LATE_START * (double)request->left_us;
  double late = request->left_us > 0 ? MAX (first_us - free_us, 0) : 0;
  return AHEAD_SHARE * ahead + LATE_FACTOR * late;
}

/* Tells whether it is this instance's turn to send more long prompts to an
   engine: there is one instance in its domain whose turn it is, and beyond it
   one on average.  */
static gboolean
has_turn (const struct spl_view *view, const struct spl_candidate *c)
{
  const struct spl_self *self = &view->self;
  if (c->distance == TOP_SAME_DOMAIN)
    return self->near <= 1 || (c->rank + view->turn) % self->near == self->rank;
  guint64 x = spl_mix (c->rank ^ spl_mix (view->turn ^ self->hash));
  return x % self->all == 0;
}

/* Tells whether this instance may send a long prompt to an engine that has
   AHEAD microseconds to read, as known. What is known of other domains is so
   old that a turn is needed there also for an engine that looks free; but for
   the home of a part, which few requests go to, and where the own domain has
   no engine at all.  */
static gboolean
may_add (const struct spl_view *view, const struct spl_candidate *c,
         double ahead)
{
  gboolean is_near = c->distance == TOP_SAME_DOMAIN;
  gboolean may_be_free
      = is_near || c->is_home || c->stands_in || view->self.hears_all;
  gboolean is_free = ahead <= FREE_US && !view->contended;
  if (view->self.all <= 1 || (is_free && may_be_free))
    return TRUE;
  return has_turn (view, c)
         && (is_near || view->self.hears_all || ahead <= FREE_US);
}

/* When an engine will have room: for its batch, for what it reads ahead, for
   the request's memory, and for streams that must not be held up. 0: now.  */
static double
room_us (const struct spl_view *view, const struct spl_request *request,
         const struct spl_candidate *c, const struct spl_estimate *e,
         double ahead, double read)
{
  const struct routing_engine *engine = view->engine;
  guint batch = MAX (MIN (engine->batch, c->server->entry.slots), 1);
  guint64 needed = c->load.memory + e->unread + request->output_tokens;
  double limit = MAX (UNREAD_LIMIT_US, 1.5 * read);
  double room = MAX (ahead + read - limit, 0);
  if (e->unread > LONG_TOKENS && !may_add (view, c, ahead))
    room = MAX (room, SPL_TURN_US);
  if (c->load.requests >= batch)
    room = MAX (room, BATCH_SLOT_US * (c->load.requests + 1 - batch));
  if (engine->memory > 0 && c->load.requests > 0
      && (double)needed > MEMORY_SHARE * (double)engine->memory)
    room = MAX (room, MEMORY_US);
  if (e->harmful)
    room = MAX (room, read > tight_run_us (view)
                          ? STREAM_US
                          : ahead + read - tight_run_us (view));
  return room;
}

/* What a request costs at an engine; BEST_HELD of its tokens can be fetched
   from another.  */
struct spl_estimate
spl_estimate_engine (const struct spl_view *view,
                     const struct spl_request *request,
                     const struct spl_candidate *c, guint best_held)
{
  struct spl_estimate e = { 0 };
  const struct routing_engine *engine = view->engine;
  guint batch = MAX (MIN (engine->batch, c->server->entry.slots), 1);
  guint missing = best_held > c->likely ? best_held - c->likely : 0;
  e.fetched
      = engine->can_fetch_prefixes && missing >= FETCH_MIN_TOKENS ? missing : 0;
  e.unread = request->prompt_tokens
             - MIN (request->prompt_tokens, c->likely + e.fetched);
  double ahead = view->us_per_token * (double)c->load.unread;
  double read = view->us_per_token * e.unread;
  double fetch = FETCH_SHARE * view->us_per_token * e.fetched;
  double queued = c->load.requests >= batch
                      ? STEP_US * 50.0 * (c->load.requests + 1 - batch)
                      : 0;
  e.first_us = way_us (c->distance) + ahead + read + fetch + queued
               + STEP_US * MAX (engine->stride, 1);
  double stray = c->strays ? HOME_SHARE * view->us_per_token
                                 * pdr_shared_tokens (&request->prompt)
                           : 0;
  e.cost = read + fetch + queued + stray
           + wait_cost (request, ahead, e.first_us)
           + harm (view, request, c, ahead + read)
           + distance_cost (request, c->distance)
           + mixing_cost (view, request, c, e.unread);
  e.harmful = spl_pace (request->gap_us) != SPL_TIGHT && c->in_tight_pool
              && c->load.tight > 0 && ahead + read > tight_run_us (view);
  e.room_us = room_us (view, request, c, &e, ahead, read);
  e.full = e.room_us > 0 && !e.harmful;
  return e;
}
