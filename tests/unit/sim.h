/* Simulation for state machines without I/O: a fake clock with a queue of
   events, and a platform store with delays, lost responses, late effects,
   outages and rate limits. A seed determines the whole run.  */
#ifndef SIM_H
#define SIM_H

#include "base/clock.h"
#include "store/storage.h"

#include <string.h>

typedef void (*sim_fn) (void *ctx);

struct sim_event
{
  gint64 at;
  guint64 order; /* order of insertion, for events of the same time */
  sim_fn fn;
  void *ctx;
};

struct sim
{
  struct clk_fake clk;
  GRand *rand;
  GSequence *events;
  guint64 last_order;
};

static inline void
sim_init (struct sim *sim, guint32 seed)
{
  clk_fake_init (&sim->clk, CLK_S);
  sim->rand = g_rand_new_with_seed (seed);
  sim->events = g_sequence_new (g_free);
  sim->last_order = 0;
}

/* Frees SIM; pending events do not happen. */
static inline void
sim_clear (struct sim *sim)
{
  g_sequence_free (sim->events);
  g_rand_free (sim->rand);
}

static inline int
sim_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct sim_event *x = a;
  const struct sim_event *y = b;
  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

/* Schedules a call of FN with CTX in DELAY_US microseconds. */
static inline void
sim_after (struct sim *sim, gint64 delay_us, sim_fn fn, void *ctx)
{
  struct sim_event *event = g_new (struct sim_event, 1);
  *event
      = (struct sim_event){ sim->clk.t + delay_us, ++sim->last_order, fn, ctx };
  g_sequence_insert_sorted (sim->events, event, sim_compare, NULL);
}

/* Runs the events up to clock time UNTIL and sets the clock to it. */
static inline void
sim_run (struct sim *sim, gint64 until)
{
  GSequenceIter *first;
  while (
      !g_sequence_iter_is_end (first = g_sequence_get_begin_iter (sim->events)))
    {
      struct sim_event event = *(struct sim_event *)g_sequence_get (first);
      if (event.at > until)
        break;
      g_sequence_remove (first);
      sim->clk.t = MAX (sim->clk.t, event.at);
      event.fn (event.ctx);
    }
  sim->clk.t = MAX (sim->clk.t, until);
}

/* Returns TRUE with probability P. */
static inline gboolean
sim_chance (struct sim *sim, double p)
{
  return g_rand_double (sim->rand) < p;
}

/* Returns a random delay from 0 to MAX microseconds, more often a short one. */
static inline gint64
sim_delay (struct sim *sim, gint64 max)
{
  double u = g_rand_double (sim->rand);
  return (gint64)(u * u * (double)max);
}

struct sim_object
{
  guint64 version; /* 0: the object does not exist */
  GBytes *body;
};

struct sim_store
{
  struct sim *sim;
  GHashTable *objects; /* name -> struct sim_object */
  guint64 last_version;
  gint64 delay; /* longest delay of a request or a response, microseconds */
  /* Probabilities of a fault of one call: its request or its response is
     lost. */
  double lost_before;
  double lost_after;
  /* Probability that the effect comes after the call has timed out, and the
     shortest delay after that, microseconds. */
  double late;
  gint64 late_by;
  double limited;    /* probability that the rate limit rejects a call */
  gboolean refusing; /* outage in which connections are refused */
  gboolean silent;   /* outage in which no response comes */
  guint gets, puts;  /* number of calls */
  gsize put_bytes;
};

/* A call in progress. */
struct sim_call
{
  struct sim_store *store;
  struct storage_request call; /* body owned */
  struct storage_response response;
  storage_callback done;
  void *ctx;
  int refs;
};

static inline void
sim_object_free (gpointer p)
{
  struct sim_object *object = p;
  if (object->body)
    g_bytes_unref (object->body);
  g_free (object);
}

static inline void
sim_store_init (struct sim_store *store, struct sim *sim)
{
  memset (store, 0, sizeof *store);
  store->sim = sim;
  store->delay = 5 * CLK_MS;
  store->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          sim_object_free);
}

static inline void
sim_store_clear (struct sim_store *store)
{
  g_hash_table_unref (store->objects);
}

static inline void
sim_store_clear_faults (struct sim_store *store)
{
  store->lost_before = store->lost_after = store->late = store->limited = 0;
  store->refusing = store->silent = FALSE;
}

static inline struct sim_object *
sim_object_of (struct sim_store *store, const char *name)
{
  struct sim_object *object = g_hash_table_lookup (store->objects, name);
  if (!object)
    {
      object = g_new0 (struct sim_object, 1);
      g_hash_table_insert (store->objects, g_strdup (name), object);
    }
  return object;
}

static inline void
sim_call_unref (struct sim_call *pending)
{
  if (--pending->refs > 0)
    return;
  if (pending->call.body)
    g_bytes_unref (pending->call.body);
  if (pending->response.body)
    g_bytes_unref (pending->response.body);
  g_free (pending);
}

/* Reads or writes the object of the call. */
static inline void
sim_call_effect (void *ctx)
{
  struct sim_call *pending = ctx;
  struct sim_object *object
      = sim_object_of (pending->store, pending->call.name);
  pending->response.version = object->version;
  if (pending->call.op != STORAGE_PUT && object->version == 0)
    pending->response.code = ERR_NOT_FOUND;
  else if (pending->call.op != STORAGE_PUT)
    pending->response.body = g_bytes_ref (object->body);
  else if (object->version != pending->call.expected)
    pending->response.code = ERR_CONFLICT;
  else
    {
      object->version = pending->response.version
          = ++pending->store->last_version;
      if (object->body)
        g_bytes_unref (object->body);
      object->body = g_bytes_ref (pending->call.body);
    }
  sim_call_unref (pending);
}

static inline void
sim_call_respond (void *ctx)
{
  struct sim_call *pending = ctx;
  pending->done (pending->ctx, &pending->response);
  sim_call_unref (pending);
}

/* Ends the call without a response: the connection broke or the call timed
   out. */
static inline void
sim_call_fail (void *ctx)
{
  struct sim_call *pending = ctx;
  struct storage_response response
      = { .code
          = sim_chance (pending->store->sim, 0.5) ? ERR_IO : ERR_TIMEOUT };
  pending->done (pending->ctx, &response);
  sim_call_unref (pending);
}

/* Starts CALL. DONE is called once, later, also if the call fails. */
static inline void
sim_store_start (struct sim_store *store, const struct storage_request *call,
                 storage_callback done, void *ctx)
{
  struct sim *sim = store->sim;
  struct sim_call *pending = g_new0 (struct sim_call, 1);
  *pending = (struct sim_call){ store, *call, { 0 }, done, ctx, 2 };
  if (call->body)
    {
      g_bytes_ref (call->body);
      store->put_bytes += g_bytes_get_size (call->body);
    }
  *(call->op == STORAGE_PUT ? &store->puts : &store->gets) += 1;
  gint64 request_delay = sim_delay (sim, store->delay);
  gint64 response_delay = request_delay + sim_delay (sim, store->delay);
  if (store->refusing || sim_chance (sim, store->limited))
    {
      pending->refs = 1;
      pending->response.code = store->refusing ? ERR_UNAVAILABLE : ERR_LIMIT;
      sim_after (sim, response_delay, sim_call_respond, pending);
    }
  else if (store->silent || sim_chance (sim, store->lost_before))
    {
      pending->refs = 1;
      sim_after (sim, call->timeout_us, sim_call_fail, pending);
    }
  else if (sim_chance (sim, store->late))
    {
      sim_after (sim, call->timeout_us, sim_call_fail, pending);
      sim_after (sim,
                 call->timeout_us + store->late_by + sim_delay (sim, 8 * CLK_S),
                 sim_call_effect, pending);
    }
  else
    {
      gboolean lost = response_delay > call->timeout_us
                      || sim_chance (sim, store->lost_after);
      sim_after (sim, request_delay, sim_call_effect, pending);
      sim_after (sim, MIN (response_delay, call->timeout_us),
                 lost ? sim_call_fail : sim_call_respond, pending);
    }
}

#endif
