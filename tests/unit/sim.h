/* Seeded schedules for the cores: a fake clock with a queue of events, and a
   platform store with delays, lost answers, late effects, outages and rate
   limits.  */
#ifndef SIM_H
#define SIM_H

#include "base/clk.h"
#include "store/sto.h"

#include <string.h>

typedef void (*sim_fn) (void *ctx);

struct sim_event
{
  gint64 at;
  guint64 order; /* among events of the same time */
  sim_fn fn;
  void *ctx;
};

struct sim
{
  struct clk_fake clk;
  GRand *rand;
  GSequence *events;
  guint64 last;
};

static inline void
sim_init (struct sim *sim, guint32 seed)
{
  clk_fake_init (&sim->clk, CLK_S);
  sim->rand = g_rand_new_with_seed (seed);
  sim->events = g_sequence_new (g_free);
  sim->last = 0;
}

/* Frees SIM; events that are still due do not happen. */
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

static inline void
sim_after (struct sim *sim, gint64 delay_us, sim_fn fn, void *ctx)
{
  struct sim_event *event = g_new (struct sim_event, 1);
  *event = (struct sim_event){ sim->clk.t + delay_us, ++sim->last, fn, ctx };
  g_sequence_insert_sorted (sim->events, event, sim_compare, NULL);
}

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

static inline gboolean
sim_chance (struct sim *sim, double p)
{
  return g_rand_double (sim->rand) < p;
}

/* Returns a time from 0 to MAX microseconds, short ones more often. */
static inline gint64
sim_delay (struct sim *sim, gint64 max)
{
  double u = g_rand_double (sim->rand);
  return (gint64)(u * u * (double)max);
}

struct sim_object
{
  guint64 version; /* 0: not there */
  GBytes *body;
};

struct sim_store
{
  struct sim *sim;
  GHashTable *objects; /* by name */
  guint64 last_version;
  gint64 delay;       /* longest way there or back */
  double lost_before; /* chances of a fault of one call */
  double lost_after;
  double late;    /* the effect comes after the caller's time limit */
  gint64 late_by; /* at least so much, microseconds */
  double limited;
  gboolean refusing; /* an outage with refused connections */
  gboolean silent;   /* an outage without answers */
  guint gets, puts;  /* calls that were made */
  gsize put_bytes;
};

/* A call on its way. */
struct sim_call
{
  struct sim_store *store;
  struct sto_call call; /* body owned */
  struct sto_answer answer;
  sto_done done;
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
sim_call_unref (struct sim_call *c)
{
  if (--c->refs > 0)
    return;
  if (c->call.body)
    g_bytes_unref (c->call.body);
  if (c->answer.body)
    g_bytes_unref (c->answer.body);
  g_free (c);
}

/* Carries the call out. */
static inline void
sim_call_effect (void *ctx)
{
  struct sim_call *c = ctx;
  struct sim_object *object = sim_object_of (c->store, c->call.name);
  c->answer.version = object->version;
  if (c->call.op != STO_PUT && object->version == 0)
    c->answer.code = ERR_NOT_FOUND;
  else if (c->call.op != STO_PUT)
    c->answer.body = g_bytes_ref (object->body);
  else if (object->version != c->call.expected)
    c->answer.code = ERR_CONFLICT;
  else
    {
      object->version = c->answer.version = ++c->store->last_version;
      if (object->body)
        g_bytes_unref (object->body);
      object->body = g_bytes_ref (c->call.body);
    }
  sim_call_unref (c);
}

static inline void
sim_call_answer (void *ctx)
{
  struct sim_call *c = ctx;
  c->done (c->ctx, &c->answer);
  sim_call_unref (c);
}

static inline void
sim_call_lose (void *ctx)
{
  struct sim_call *c = ctx;
  struct sto_answer answer
      = { .code = sim_chance (c->store->sim, 0.5) ? ERR_IO : ERR_TIMEOUT };
  c->done (c->ctx, &answer);
  sim_call_unref (c);
}

/* Starts CALL; DONE is called once, later. */
static inline void
sim_store_start (struct sim_store *store, const struct sto_call *call,
                 sto_done done, void *ctx)
{
  struct sim *sim = store->sim;
  struct sim_call *c = g_new0 (struct sim_call, 1);
  *c = (struct sim_call){ store, *call, { 0 }, done, ctx, 2 };
  if (call->body)
    {
      g_bytes_ref (call->body);
      store->put_bytes += g_bytes_get_size (call->body);
    }
  *(call->op == STO_PUT ? &store->puts : &store->gets) += 1;
  gint64 there = sim_delay (sim, store->delay);
  gint64 back = there + sim_delay (sim, store->delay);
  if (store->refusing || sim_chance (sim, store->limited))
    {
      c->refs = 1;
      c->answer.code = store->refusing ? ERR_UNAVAILABLE : ERR_LIMIT;
      sim_after (sim, back, sim_call_answer, c);
    }
  else if (store->silent || sim_chance (sim, store->lost_before))
    {
      c->refs = 1;
      sim_after (sim, call->timeout_us, sim_call_lose, c);
    }
  else if (sim_chance (sim, store->late))
    {
      sim_after (sim, call->timeout_us, sim_call_lose, c);
      sim_after (sim,
                 call->timeout_us + store->late_by + sim_delay (sim, 8 * CLK_S),
                 sim_call_effect, c);
    }
  else
    {
      gboolean lost
          = back > call->timeout_us || sim_chance (sim, store->lost_after);
      sim_after (sim, there, sim_call_effect, c);
      sim_after (sim, MIN (back, call->timeout_us),
                 lost ? sim_call_lose : sim_call_answer, c);
    }
}

#endif
