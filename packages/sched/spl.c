#include "sched/spl_int.h"

#include <math.h>
#include <stdlib.h>

/* Load patterns answered:
   - Prompts that share most of their tokens. They go where the shared parts
     lie, unless that engine is loaded; then another engine fetches the parts
     from the holder, which costs a fraction of reading them.
   - More shared parts than the engines of a domain can keep. Each region has
     one home for each part, found by a hash and thus without a message.
   - Many instances that place at the same moment by the same, somewhat old
     view of the load. All would send their next prompts to the engine that
     looked least loaded, one after another its queue would fill. Each prompt is
     therefore compared over a few engines only, drawn by its shared parts, and
     over more only if none of these is in time.  */

#define CANDIDATES_MAX 1024
#define CHOICES                                                                \
  3 /* engines compared at first; two are the least                            \
       that evens load out, one more is for engines                            \
       that are slow or cut off */
#define RESERVED_SHARE                                                         \
  0.25                  /* of a domain's engines that are no homes, so         \
                           that homes stay when the tight pool grows */
#define TIGHT_SHARE 0.5 /* of an engine's batch that tight streams fill */
#define SAME_US 4000.0  /* costs this close count as equal */

/* Spreads the bits of X (a round of the finaliser of splitmix64).  */
guint64
spl_mix (guint64 x)
{
  x ^= x >> 29;
  x *= G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  return x ^ (x >> 32);
}

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
                < server_health_slots (&server->server_health, G_MAXUINT);
}

/* Orders servers for a request; all instances agree on it without a message.
   Requests with the same shared parts get the same order.  */
static guint64
draw (const struct spl_request *request, guint64 rank)
{
  return spl_mix (rank
                  ^ (request->home * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15)));
}

static guint
collect (const struct spl_view *view, const struct spl_request *request,
         struct spl_candidate *found)
{
  guint n = 0;
  guint near = 0;
  for (guint i = 0; i < view->n_servers && n < CANDIDATES_MAX; i++)
    {
      struct flt_server *server = view->servers[i];
      if (!is_usable (view, server) || was_tried (request, server))
        continue;
      struct spl_candidate *c = &found[n++];
      *c = (struct spl_candidate){ .server = server };
      c->load = sld_total (view->sld, server->number);
      c->distance = top_distance (view->top, server->entry.domain);
      c->rank = str_hash (str_of (server->entry.id), 0);
      c->draw = draw (request, c->rank);
      if (view->engine != NULL)
        c->held
            = pdr_held (view->pdr, server->number, &request->prompt, view->now);
      c->likely = c->held;
      near += c->distance == TOP_SAME_DOMAIN;
    }
  for (guint i = 0; i < n; i++)
    found[i].stands_in = near == 0;
  return n;
}

/* Marks the engines of each domain that streams with short pauses go to: as
   many of the first by rank as the running ones fill.  */
static void
mark_tight_pools (const struct spl_view *view, struct spl_candidate *c, guint n)
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

static struct flt_server *
find_holder (const struct spl_candidate *c, guint n, guint held,
             const struct flt_server *except)
{
  const struct spl_candidate *best = NULL;
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
  return pdr_shared_tokens (&request->prompt) >= PDR_LARGE_TOKENS
         && !pdr_last (view->pdr, &request->prompt, view->now, &last);
}

/* The engines where this prompt's shared part has its home: in the own region
   and beyond. NULL: none.  */
struct homes
{
  struct spl_candidate *region;
  struct spl_candidate *beyond;
};

static struct homes
find_homes (const struct spl_view *view, const struct spl_request *request,
            struct spl_candidate *c, guint n)
{
  struct homes homes = { NULL, NULL };
  guint shared = pdr_shared_tokens (&request->prompt);
  if (view->engine == NULL || shared < PDR_LARGE_TOKENS)
    return homes;
  for (guint i = 0; i < n; i++)
    {
      struct spl_candidate **home
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
static enum spl_suit
suit_of (const struct spl_request *request, const struct spl_candidate *c,
         gboolean meets)
{
  gboolean tight = spl_pace (request->gap_us) == SPL_TIGHT;
  gboolean suits
      = tight ? c->in_tight_pool : !c->in_tight_pool && !(meets && c->reserved);
  switch (c->distance)
    {
    case TOP_SAME_DOMAIN:
      return suits ? SPL_SUITED : SPL_NEAR;
    case TOP_SAME_REGION:
      if (meets)
        return suits ? SPL_SUITED : SPL_NEAR;
      return suits ? SPL_REGION : SPL_REGION_ANY;
    case TOP_OTHER_REGION:
      break;
    }
  return SPL_FAR;
}

static int
by_suit (const void *a, const void *b)
{
  const struct spl_candidate *x = a;
  const struct spl_candidate *y = b;
  if (x->suit != y->suit)
    return x->suit < y->suit ? -1 : 1;
  return x->draw < y->draw ? -1 : x->draw > y->draw;
}

static void
sort_by_suit (const struct spl_view *view, const struct spl_request *request,
              struct spl_candidate *c, guint n)
{
  gboolean meets = is_new (view, request);
  for (guint i = 0; i < n; i++)
    c[i].suit = suit_of (request, &c[i], meets);
  qsort (c, n, sizeof *c, by_suit);
}

/* Whom to ask for parts that nobody is known to hold. What is believed to be
   pushed out may still be there, and asking in vain costs little. NULL: nobody.
 */
static struct flt_server *
likely_holder (const struct spl_view *view, const struct spl_request *request,
               const struct spl_candidate *c, guint n,
               const struct homes *homes, const struct spl_candidate *except)
{
  guint last;
  if (pdr_last (view->pdr, &request->prompt, view->now, &last))
    for (guint i = 0; i < n; i++)
      if (c[i].server->number == last && &c[i] != except)
        return c[i].server;
  const struct spl_candidate *home
      = except != homes->region ? homes->region : homes->beyond;
  return home != NULL ? home->server : NULL;
}

struct choosing
{
  const struct spl_candidate *best;
  struct spl_estimate estimate; /* of BEST */
};

/* Among servers of about the same cost the request's home hash decides, so
   that requests with the same shared parts meet at the same server.  */
static void
compare (struct choosing *choosing, const struct spl_candidate *c,
         const struct spl_estimate *e)
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
   compared. One of a tight pool where streams would be held up is taken only if
   there is no other kind; else the request waits until another has room.  */
void
spl_choose (const struct spl_view *view, const struct spl_request *request,
            struct spl_choice *choice)
{
  static struct spl_candidate found[CANDIDATES_MAX];
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
      sort_by_suit (view, request, found, n);
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
      const struct spl_candidate *c = &found[i];
      struct spl_estimate e
          = view->engine != NULL
                ? spl_estimate_engine (view, request, c, best_held)
                : spl_estimate_plain (request, c);
      choice->first_us = MIN (choice->first_us, (gint64)e.first_us);
      choice->full |= e.full;
      choice->room_us = MIN (choice->room_us, (gint64)e.room_us);
      if (e.full)
        continue;
      gboolean holds = c->held >= PDR_LARGE_TOKENS && c->held == best_held;
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
  else if (view->engine != NULL && view->engine->can_fetch_prefixes
           && chosen->best->held < pdr_shared_tokens (&request->prompt))
    choice->fetch_from
        = likely_holder (view, request, found, n, &homes, chosen->best);
  choice->held = chosen->best->held;
}
