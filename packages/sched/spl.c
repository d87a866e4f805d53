#include "sched/spl.h"

#include <math.h>
#include <stdlib.h>

/* Load patterns answered:
   - Long prompts next to streams that must not pause. An engine reads prompts
     in chunks between the tokens of its running requests, so a long prompt
     holds up every stream there. Streams with short pauses are kept together
     on a few engines of each failure domain, in an order that all instances
     agree on without a message, and long prompts go elsewhere while there is
     room elsewhere.
   - Prompts that share most of their tokens. They go where the shared parts
     lie, unless that engine is loaded; then another engine fetches the parts
     from the holder, which costs a fraction of reading them.
   - More shared parts than the engines of a domain can keep. Each region has
     one home for each part, found by a hash and thus without a message.
   - Many instances that place at the same moment by the same, somewhat old
     view of the load. All would send their next prompts to the engine that
     looked least loaded, one after another its queue would fill. Each prompt is
     therefore compared over a few engines only, drawn by its shared parts, and
     over more only if none of these is in time.
   - Engines that come back, empty, or look empty to others for a moment, while
     many instances have long prompts waiting. Beyond a short time of reading
     ahead, an engine takes prompts from one instance of its domain at a time;
     the turn goes round, and whoever is next has seen what the others sent.
     Instances of other domains need a turn in any case.
   - Bursts. Cost rises with what an engine still has to read, so that load
     spreads over the domain first, then over the region, then beyond.  */

#define CANDIDATES_MAX 1024
#define CHOICES                                                                \
  3                          /* engines compared at first; two are the least   \
                                that evens load out, one more is for engines   \
                                that are slow or cut off */
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
#define LATE_START                                                             \
  0.5                       /* share of the time left that may go by before    \
                               the first event at no further cost */
#define LATE_FACTOR 3.0     /* cost of each microsecond beyond */
#define TIGHT_GAP_US 400000 /* streams with pauses up to this are tight */
#define PACED_GAP_US 700000 /* and up to this are paced */
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
  100000.0                /* cost of a tight stream outside, where long        \
                             prompts will come */
#define SHARED_LARGE 1000 /* shared tokens that are worth a way */
#define HOME_SHARE                                                             \
  0.7 /* of them that a region's home is taken to                              \
         hold when nothing is known */
#define RESERVED_SHARE                                                         \
  0.25                  /* of a domain's engines that are no homes, so         \
                           that homes stay when the tight pool grows */
#define TIGHT_SHARE 0.5 /* of an engine's batch that tight streams fill */
#define UNREAD_LIMIT_US 450000.0 /* of reading ahead at one engine */
#define FREE_US                                                                \
  250000.0 /* of reading ahead up to which all instances may add to it; more   \
              than what others may have sent unseen */
#define MEMORY_SHARE 0.9      /* of an engine's memory that is given away */
#define SAME_US 4000.0        /* costs this close count as equal */
#define BATCH_SLOT_US 20000.0 /* until an engine's full batch loses one */
#define MEMORY_US 200000.0    /* until a full memory has room, about */
#define STREAM_US 500000.0    /* until tight streams have ended, about */
#define PLAIN_SLOT_US 15000.0 /* cost of a request ahead at a plain server */

/* Engines that a request is compared over first and last, by what suits it.
   Those of one class are taken in the order of their draws.  */
enum turn_class
{
  TURN_SUITED,     /* of the right kind, near */
  TURN_NEAR,       /* near */
  TURN_REGION,     /* of the right kind, elsewhere in the region */
  TURN_REGION_ANY, /* elsewhere in the region */
  TURN_FAR         /* in another region */
};

struct candidate
{
  struct flt_server *server;
  struct sld_load load;
  enum top_distance distance;
  guint64 rank;      /* order of engines that all instances share */
  guint held;        /* tokens of the prompt, as known */
  gboolean strays;   /* neither home nor known holder: one more copy */
  gboolean is_home;  /* of the shared part, in the own region */
  gboolean reserved; /* among the first of its domain, which the tight pool
                        takes as it grows */
  guint likely;      /* the same, or what a home is taken to hold */
  gboolean in_tight_pool;
  enum turn_class turn_class;
  guint64 draw; /* by the request's home and the engine */
};

static gboolean
was_tried (const struct spl_request *request, const struct flt_server *server)
{
  for (guint i = 0; i < request->n_tried; i++)
    if (request->tried[i] == server->number)
      return TRUE;
  return FALSE;
}

static gboolean
is_usable (const struct spl_view *view, const struct flt_server *server)
{
  return server->state == FLT_READY && server->avoid_until <= view->now
         && g_str_equal (server->entry.service, view->service)
         && sld_own (view->sld, server->number)->requests
                < hea_slots (&server->hea, G_MAXUINT);
}

/* Spreads the bits of X (the finaliser of splitmix64).  */
static guint64
mix (guint64 x)
{
  x ^= x >> 29;
  x *= G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  return x ^ (x >> 32);
}

/* Orders servers for a request; all instances agree on it without a message.
   Requests with the same shared parts get the same order.  */
static guint64
draw (const struct spl_request *request, guint64 rank)
{
  return mix (rank ^ (request->home * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15)));
}

static guint
collect (const struct spl_view *view, const struct spl_request *request,
         struct candidate *found)
{
  guint n = 0;
  for (guint i = 0; i < view->n_servers && n < CANDIDATES_MAX; i++)
    {
      struct flt_server *server = view->servers[i];
      if (!is_usable (view, server) || was_tried (request, server))
        continue;
      struct candidate *c = &found[n++];
      *c = (struct candidate){ .server = server };
      c->load = sld_total (view->sld, server->number);
      c->distance = top_distance (view->top, server->entry.domain);
      c->rank = str_hash (str_of (server->entry.id), 0);
      c->draw = draw (request, c->rank);
      if (view->engine != NULL)
        c->held
            = pdr_held (view->pdr, server->number, &request->prompt, view->now);
      c->likely = c->held;
    }
  return n;
}

/* Marks the engines of each domain that streams with short pauses go to: as
   many of the first by rank as the running ones fill.  */
static void
mark_tight_pools (const struct spl_view *view, struct candidate *c, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      guint size = 0;
      guint before = 0;
      guint tight = 0;
      for (guint k = 0; k < n; k++)
        {
          if (!g_str_equal (c[k].server->entry.domain,
                            c[i].server->entry.domain))
            continue;
          size++;
          tight += c[k].load.tight;
          before += c[k].rank < c[i].rank;
        }
      double wanted
          = ceil ((tight + 1) / (TIGHT_SHARE * MAX (view->engine->batch, 1)));
      guint pool = size < 2 ? 0 : MIN ((guint)wanted, size - 1);
      c[i].in_tight_pool = before < pool;
      c[i].reserved = (double)before < RESERVED_SHARE * size && size > 1;
    }
}

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

struct estimate
{
  double first_us; /* to the first event */
  double cost;     /* microseconds */
  guint unread;    /* tokens to be read at the engine */
  guint fetched;   /* tokens to be fetched */
  gboolean full;
  double room_us;   /* until it has room, predicted; 0: it has */
  gboolean harmful; /* tight streams there would be held up */
};

static struct estimate
estimate_plain (const struct spl_request *request, const struct candidate *c)
{
  struct estimate e = { 0 };
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
      const struct candidate *c, double run_us)
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
             const struct candidate *c, guint unread)
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
has_turn (const struct spl_view *view, const struct candidate *c)
{
  const struct spl_self *self = &view->self;
  if (c->distance == TOP_SAME_DOMAIN)
    return self->near <= 1 || (c->rank + view->turn) % self->near == self->rank;
  guint64 x = mix (c->rank ^ mix (view->turn ^ self->hash));
  return x % self->all == 0;
}

/* Tells whether this instance may send a long prompt to an engine that has
   AHEAD microseconds to read, as known. What is known of other domains is so
   old that a turn is needed there also for an engine that looks free; but for
   the home of a part, which few requests go to.  */
static gboolean
may_add (const struct spl_view *view, const struct candidate *c, double ahead)
{
  gboolean is_near = c->distance == TOP_SAME_DOMAIN;
  gboolean is_free = ahead <= FREE_US && !view->contended;
  if (view->self.all <= 1
      || (is_free && (is_near || c->is_home || view->self.hears_all)))
    return TRUE;
  return has_turn (view, c)
         && (is_near || view->self.hears_all || ahead <= FREE_US);
}

/* When an engine will have room: for its batch, for what it reads ahead, for
   the request's memory, and for streams that must not be held up. 0: now.  */
static double
room_us (const struct spl_view *view, const struct spl_request *request,
         const struct candidate *c, const struct estimate *e, double ahead,
         double read)
{
  const struct rtb_engine *engine = view->engine;
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

static struct estimate
estimate_engine (const struct spl_view *view, const struct spl_request *request,
                 const struct candidate *c, guint best_held)
{
  struct estimate e = { 0 };
  const struct rtb_engine *engine = view->engine;
  guint batch = MAX (MIN (engine->batch, c->server->entry.slots), 1);
  guint missing = best_held > c->likely ? best_held - c->likely : 0;
  e.fetched = engine->fetches && missing >= FETCH_MIN_TOKENS ? missing : 0;
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

static struct flt_server *
find_holder (const struct candidate *c, guint n, guint held,
             const struct flt_server *except)
{
  const struct candidate *best = NULL;
  for (guint i = 0; i < n; i++)
    if (c[i].held >= held && c[i].server != except
        && (best == NULL || c[i].distance < best->distance))
      best = &c[i];
  return best ? best->server : NULL;
}

/* Tells whether the prompt has a large shared part that nobody is known to
   have read lately.  */
static gboolean
is_new (const struct spl_view *view, const struct spl_request *request)
{
  guint last;
  return pdr_shared_tokens (&request->prompt) >= SHARED_LARGE
         && !pdr_last (view->pdr, &request->prompt, view->now, &last);
}

/* The engines where this prompt's shared part has its home: in the own region
   and beyond. NULL: none.  */
struct homes
{
  struct candidate *region;
  struct candidate *beyond;
};

static struct homes
find_homes (const struct spl_view *view, const struct spl_request *request,
            struct candidate *c, guint n)
{
  struct homes homes = { NULL, NULL };
  guint shared = pdr_shared_tokens (&request->prompt);
  if (view->engine == NULL || shared < SHARED_LARGE)
    return homes;
  for (guint i = 0; i < n; i++)
    {
      struct candidate **home
          = c[i].distance == TOP_OTHER_REGION ? &homes.beyond : &homes.region;
      if (c[i].reserved)
        continue;
      if (*home == NULL || c[i].draw < (*home)->draw)
        *home = &c[i];
    }
  if (homes.region == NULL)
    return homes;
  if (!is_new (view, request))
    return homes;
  for (guint i = 0; i < n; i++)
    c[i].strays = &c[i] != homes.region && c[i].held < shared / 2;
  homes.region->is_home = TRUE;
  homes.region->likely
      = MAX (homes.region->held, (guint)(HOME_SHARE * view->known * shared));
  return homes;
}

/* Which engines to compare first. A large shared part may meet others of its
   kind anywhere in the region; other requests stay in the domain.  */
static enum turn_class
turn_class (const struct spl_view *view, const struct spl_request *request,
            const struct candidate *c)
{
  gboolean meets = is_new (view, request);
  gboolean tight = spl_pace (request->gap_us) == SPL_TIGHT;
  gboolean suits
      = tight ? c->in_tight_pool : !c->in_tight_pool && !(meets && c->reserved);
  switch (c->distance)
    {
    case TOP_SAME_DOMAIN:
      return suits ? TURN_SUITED : TURN_NEAR;
    case TOP_SAME_REGION:
      if (meets)
        return suits ? TURN_SUITED : TURN_NEAR;
      return suits ? TURN_REGION : TURN_REGION_ANY;
    case TOP_OTHER_REGION:
      break;
    }
  return TURN_FAR;
}

static int
by_turn (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;
  if (x->turn_class != y->turn_class)
    return x->turn_class < y->turn_class ? -1 : 1;
  return x->draw < y->draw ? -1 : x->draw > y->draw;
}

static void
take_turns (const struct spl_view *view, const struct spl_request *request,
            struct candidate *c, guint n)
{
  for (guint i = 0; i < n; i++)
    c[i].turn_class = turn_class (view, request, &c[i]);
  qsort (c, n, sizeof *c, by_turn);
}

/* Whom to ask for parts that nobody is known to hold. What is believed to be
   pushed out may still be there, and asking in vain costs little. NULL: nobody.
 */
static struct flt_server *
likely_holder (const struct spl_view *view, const struct spl_request *request,
               const struct candidate *c, guint n, const struct homes *homes,
               const struct candidate *except)
{
  guint last;
  if (pdr_last (view->pdr, &request->prompt, view->now, &last))
    for (guint i = 0; i < n; i++)
      if (c[i].server->number == last && &c[i] != except)
        return c[i].server;
  const struct candidate *home
      = except != homes->region ? homes->region : homes->beyond;
  return home != NULL ? home->server : NULL;
}

struct choosing
{
  const struct candidate *best;
  struct estimate estimate; /* of BEST */
};

/* Among servers of about the same cost the request's home hash decides, so
   that requests with the same shared parts meet at the same server.  */
static void
compare (struct choosing *choosing, const struct candidate *c,
         const struct estimate *e)
{
  double difference = e->cost - choosing->estimate.cost;
  if (choosing->best != NULL
      && (difference > SAME_US
          || (difference > -SAME_US && c->draw >= choosing->best->draw)))
    return;
  choosing->best = c;
  choosing->estimate = *e;
}

/* Tells whether the best engine so far would be in time at no further cost.  */
static gboolean
is_in_time (const struct spl_request *request, const struct choosing *choosing)
{
  return choosing->best != NULL
         && choosing->estimate.first_us
                <= LATE_START * (double)request->left_us;
}

/* Chooses the server with the least cost that has room, of the few that are
   compared. One of a tight pool
   where streams would be held up is taken only if there is no other kind; else
   the request waits until another has room.  */
void
spl_choose (const struct spl_view *view, const struct spl_request *request,
            struct spl_choice *choice)
{
  static struct candidate found[CANDIDATES_MAX];
  guint n = collect (view, request, found);
  guint best_held = 0;
  guint64 slots = 0;
  guint64 taken = 0;
  guint calm = 0; /* servers that are not in a tight pool */
  guint compared = 0;
  struct choosing good = { 0 };
  struct choosing harmful = { 0 };
  *choice = (struct spl_choice){ .usable = n,
                                 .first_us = G_MAXINT64,
                                 .room_us = G_MAXINT64 };
  if (view->engine != NULL)
    {
      mark_tight_pools (view, found, n);
      take_turns (view, request, found, n);
    }
  struct homes homes = find_homes (view, request, found, n);
  for (guint i = 0; i < n; i++)
    {
      best_held = MAX (best_held, found[i].held);
      slots += found[i].server->entry.slots;
      taken += MIN (found[i].load.requests, found[i].server->entry.slots);
      calm += !found[i].in_tight_pool;
    }
  choice->busy = slots ? (double)taken / (double)slots : 1.0;
  for (guint i = 0; i < n; i++)
    {
      const struct candidate *c = &found[i];
      struct estimate e = view->engine != NULL
                              ? estimate_engine (view, request, c, best_held)
                              : estimate_plain (request, c);
      choice->first_us = MIN (choice->first_us, (gint64)e.first_us);
      choice->full |= e.full;
      choice->room_us = MIN (choice->room_us, (gint64)e.room_us);
      if (e.full)
        continue;
      gboolean holds = c->held >= SHARED_LARGE && c->held == best_held;
      if (view->engine == NULL || holds || compared < CHOICES
          || !is_in_time (request, &good))
        compare (e.harmful ? &harmful : &good, c, &e);
      compared += !e.harmful;
    }
  const struct choosing *chosen
      = good.best != NULL || calm > 0 ? &good : &harmful;
  if (chosen->best == NULL)
    return;
  choice->full = FALSE;
  choice->server = chosen->best->server;
  choice->load = chosen->best->load;
  choice->unread = chosen->estimate.unread;
  choice->first_us = (gint64)chosen->estimate.first_us;
  if (chosen->estimate.fetched > 0)
    choice->fetch_from
        = find_holder (found, n, best_held, chosen->best->server);
  else if (view->engine != NULL && view->engine->fetches
           && chosen->best->held < pdr_shared_tokens (&request->prompt))
    choice->fetch_from
        = likely_holder (view, request, found, n, &homes, chosen->best);
  choice->held = chosen->best->held;
}
