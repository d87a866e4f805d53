/* Simulation for test_nod.c: decision cores of two failure domains in one
   process, with a fake clock and a random seed. Connections keep the order of
   messages and may break; instances stop, freeze and restart; backend servers
   are simple models; the store is the one of sim.h. A history is recorded, on
   which core_rules.h checks its invariants.  */
#ifndef CORE_SIM_H
#define CORE_SIM_H

#include "node/core.h"
#include "unit/sim.h"

#define DOMAINS 2
#define INSTANCES 5
#define SERVERS 8 /* the first half are engines */
#define KEYS 120  /* idempotency keys */
#define JOBS_MAX 1000
#define SERVER_SLOTS 4
#define REPORT_US (500 * CLK_MS)   /* between load reports */
#define LINK_TICK_US (50 * CLK_MS) /* between connection checks */
#define GRACE_US (1 * CLK_S)       /* requests arrive so long after SHUTDOWN */

enum rec_kind
{
  REC_REQUEST,
  REC_DISCONNECT,
  REC_OPEN,
  REC_RUN,
  REC_FAIL,
  REC_REPLAY,
  REC_FINISH,
  REC_CONFIG,      /* a version is in force; servers: drained ones */
  REC_LOAD_REPORT, /* servers: engines that report to be leaving */
  REC_LEAVE,       /* an engine starts to report that it leaves */
  REC_RETURN,      /* an engine stops to report that */
  REC_STOP,        /* an instance stopped */
  REC_FREEZE,      /* an instance is frozen */
  REC_RESUME,      /* a frozen instance continues */
  REC_SHUTDOWN,    /* an instance was asked to shut down */
  REC_DRAINED      /* count: requests and results in progress */
};

struct rec
{
  enum rec_kind kind;
  gint64 at;
  guint instance;
  guint generation; /* of the instance */
  guint job;
  guint server;
  guint servers; /* bit set */
  guint64 version;
  guint count;
  enum core_ran ran;
  const char *code;  /* of a failure, static */
  guint response_of; /* job that the response is from */
};

enum job_kind
{
  JOB_STREAM, /* repeatable, resumable */
  JOB_ONCE,   /* not repeatable, no key */
  JOB_KEYED,
  JOB_KINDS
};

struct attempt;

struct job
{
  enum job_kind kind;
  guint key;
  gboolean other_body; /* the second of the key's two bodies */
  guint instance;
  guint generation;
  gboolean accepted;
  gboolean over; /* ended, client disconnected, or instance stopped */
  guint tokens_received;
  struct attempt *attempt;
};

struct world;

struct instance
{
  struct world *world;
  guint index;
  guint generation; /* counts starts */
  struct core *core;
  struct counter_set counter_set;
  gint64 frozen_until;
  gint64 shutdown_at; /* time of SHUTDOWN; 0: none */
  gboolean drained;
};

struct link
{
  gboolean up;
  guint epoch; /* counts breaks */
  gint64 retry_at;
  gint64 last[2]; /* last arrival at the lower and higher index */
};

struct server
{
  gint64 down_until;
  gboolean leaving; /* in its load reports */
  guint running;
};

struct world
{
  struct sim sim;
  struct sim_store store;
  struct instance instances[INSTANCES];
  struct link links[INSTANCES][INSTANCES]; /* [lower index][higher index] */
  struct server servers[SERVERS];
  struct job jobs[JOBS_MAX];
  guint n_jobs;
  GArray *history; /* of struct rec */
  gint64 partitioned_until;
  gint64 store_unreachable_until[DOMAINS];
  gboolean faults;  /* servers fail at random */
  gboolean crashes; /* each request ends the server that begins to run it */
  gboolean over;
};

struct delivery
{
  struct instance *instance;
  guint generation;
  const struct link *link; /* for messages; otherwise NULL */
  guint epoch;
  gboolean arrived; /* waits until the instance is not frozen */
  struct core_event event;
  struct msg *msg;
  struct storage_response response;
  char text[32];
};

static struct rec *
record (struct world *world, enum rec_kind kind, guint instance, guint job)
{
  struct rec rec = { .kind = kind, .at = world->sim.clk.t };
  rec.instance = instance;
  rec.generation = world->instances[instance].generation;
  rec.job = job;
  g_array_append_val (world->history, rec);
  return &g_array_index (world->history, struct rec, world->history->len - 1);
}

static gint64
between (struct world *world, gint64 low, gint64 high)
{
  return low + sim_delay (&world->sim, high - low);
}

static guint
pick (struct world *world, guint n)
{
  return (guint)g_rand_int_range (world->sim.rand, 0, (gint32)n);
}

static gboolean
is_frozen (const struct instance *instance)
{
  return instance->frozen_until > instance->world->sim.clk.t;
}

static void
delivery_free (struct delivery *delivery)
{
  msg_free (delivery->msg);
  if (delivery->response.body != NULL)
    g_bytes_unref (delivery->response.body);
  g_free (delivery);
}

static struct delivery *
delivery_new (struct instance *instance, enum core_event_kind kind)
{
  struct delivery *delivery = g_new0 (struct delivery, 1);
  delivery->instance = instance;
  delivery->generation = instance->generation;
  delivery->event.kind = kind;
  return delivery;
}

/* Delivers an event to its instance, later if the instance is frozen. A
   message on a connection that broke before its arrival is lost.  */
static void
deliver (void *ctx)
{
  struct delivery *delivery = ctx;
  struct instance *instance = delivery->instance;
  struct world *world = instance->world;
  gboolean lost = delivery->link != NULL && !delivery->arrived
                  && delivery->link->epoch != delivery->epoch;
  if (instance->core == NULL || instance->generation != delivery->generation
      || lost)
    {
      delivery_free (delivery);
      return;
    }
  if (is_frozen (instance))
    {
      delivery->arrived = TRUE;
      sim_after (&world->sim, instance->frozen_until - world->sim.clk.t,
                 deliver, delivery);
      return;
    }
  guint job = (guint)delivery->event.request.id - 1;
  gboolean accepted = core_config (instance->core) != NULL;
  if (delivery->event.kind == CORE_REQUEST && accepted)
    {
      world->jobs[job].accepted = TRUE;
      record (world, REC_REQUEST, instance->index, job);
    }
  if (delivery->event.kind != CORE_REQUEST || accepted)
    core_handle (instance->core, &delivery->event);
  delivery_free (delivery);
}

static const char *const ids[INSTANCES] = { "i0", "i1", "i2", "i3", "i4" };

static struct link *
link_of (struct world *world, guint a, guint b)
{
  return &world->links[MIN (a, b)][MAX (a, b)];
}

/* Delivers DELIVERY to instance TO after everything that FROM sent to it
   before.  */
static void
send_ordered (struct world *world, guint from, guint to,
              struct delivery *delivery, gint64 delay)
{
  gint64 *last = &link_of (world, from, to)->last[to > from];
  *last = MAX (*last, world->sim.clk.t + delay);
  sim_after (&world->sim, *last - world->sim.clk.t, deliver, delivery);
}

static void
send_message (struct instance *from, const char *id, const struct msg *msg)
{
  struct world *world = from->world;
  guint to = (guint)(id[1] - '0');
  const struct link *link = link_of (world, from->index, to);
  if (!link->up)
    return;
  struct delivery *delivery
      = delivery_new (&world->instances[to], CORE_MESSAGE);
  delivery->link = link;
  delivery->epoch = link->epoch;
  delivery->msg = msg_copy (msg);
  delivery->event.message.from = ids[from->index];
  delivery->event.message.msg = delivery->msg;
  gboolean near = from->index % DOMAINS == to % DOMAINS;
  gint64 slow = sim_chance (&world->sim, 0.02) ? 400 * CLK_MS : 0;
  send_ordered (world, from->index, to, delivery,
                between (world, CLK_MS / 5, (near ? 5 : 40) * CLK_MS + slow));
}

static void
notify_peer (struct world *world, guint from, guint to,
             enum core_event_kind kind, gint64 delay)
{
  struct instance *instance = &world->instances[to];
  struct delivery *delivery = delivery_new (instance, kind);
  if (kind == CORE_PEER_UP)
    delivery->event.peer_up = ids[from];
  else
    delivery->event.peer_lost = ids[from];
  send_ordered (world, from, to, delivery, delay);
}

/* Breaks a connection. Messages in transit are lost; each side is notified
   within NOTICE microseconds.  */
static void
break_link (struct world *world, guint a, guint b, gint64 notice)
{
  struct link *link = link_of (world, a, b);
  if (!link->up)
    return;
  link->up = FALSE;
  link->epoch++;
  link->retry_at
      = world->sim.clk.t + between (world, 20 * CLK_MS, 500 * CLK_MS);
  notify_peer (world, a, b, CORE_PEER_LOST, between (world, 0, notice));
  notify_peer (world, b, a, CORE_PEER_LOST, between (world, 0, notice));
}

static void
check_link (struct world *world, guint a, guint b)
{
  struct link *link = link_of (world, a, b);
  const struct instance *x = &world->instances[a];
  const struct instance *y = &world->instances[b];
  gboolean partitioned = a % DOMAINS != b % DOMAINS
                         && world->partitioned_until > world->sim.clk.t;
  if (partitioned)
    break_link (world, a, b, 2 * CLK_S);
  if (partitioned || link->up || world->sim.clk.t < link->retry_at
      || x->core == NULL || y->core == NULL || is_frozen (x) || is_frozen (y))
    return;
  link->up = TRUE;
  notify_peer (world, a, b, CORE_PEER_UP, between (world, 0, 5 * CLK_MS));
  notify_peer (world, b, a, CORE_PEER_UP, between (world, 0, 5 * CLK_MS));
}

static void
check_links (void *ctx)
{
  struct world *world = ctx;
  for (guint a = 0; a < INSTANCES; a++)
    for (guint b = a + 1; b < INSTANCES; b++)
      check_link (world, a, b);
  if (!world->over)
    sim_after (&world->sim, LINK_TICK_US, check_links, world);
}

/* A call to the store. */
struct store_call
{
  struct instance *instance;
  guint generation;
  guint64 token;
  struct storage_request request;
  gint64 until; /* end of a watch */
};

static void
on_store_response (void *ctx, const struct storage_response *response)
{
  struct store_call *call = ctx;
  struct delivery *delivery
      = delivery_new (call->instance, CORE_STORE_RESPONSE);
  delivery->generation = call->generation;
  delivery->response = *response;
  if (response->body != NULL)
    g_bytes_ref (response->body);
  delivery->event.store_response.token = call->token;
  delivery->event.store_response.response = &delivery->response;
  sim_after (&call->instance->world->sim, 0, deliver, delivery);
  g_free (call);
}

static void
on_store_timeout (void *ctx)
{
  static const struct storage_response none = { .code = ERR_TIMEOUT };
  on_store_response (ctx, &none);
}

static void
watch (void *ctx)
{
  struct store_call *call = ctx;
  struct world *world = call->instance->world;
  const struct sim_object *object
      = sim_object_of (&world->store, call->request.name);
  if (world->over || world->sim.clk.t >= call->until)
    on_store_timeout (call);
  else if (object->version > call->request.expected)
    {
      call->request.timeout_us = 2 * CLK_S;
      sim_store_start (&world->store, &call->request, on_store_response, call);
    }
  else
    sim_after (&world->sim, LINK_TICK_US, watch, call);
}

static void
call_store (struct instance *instance, guint64 token,
            const struct storage_request *request)
{
  struct world *world = instance->world;
  struct store_call *call = g_new0 (struct store_call, 1);
  *call = (struct store_call){ instance, instance->generation, token, *request,
                               0 };
  call->until = world->sim.clk.t + request->timeout_us;
  if (world->store_unreachable_until[instance->index % DOMAINS]
      > world->sim.clk.t)
    sim_after (&world->sim, MIN (request->timeout_us, 2 * CLK_S),
               on_store_timeout, call);
  else if (request->op == STORAGE_WATCH)
    watch (call);
  else
    sim_store_start (&world->store, request, on_store_response, call);
}

/* An attempt on a simulated server. */
struct attempt
{
  struct instance *instance;
  guint generation;
  guint job;
  guint32 number;
  guint server;
  gint64 until;
  gint64 send_by;
  guint steps_left;  /* steps of work */
  gboolean deferred; /* the instance was frozen before it sent it */
  gboolean cancelled;
  gboolean breaks; /* its connection breaks before the end */
  gboolean runs;
};

static void
attempt_free (struct attempt *attempt)
{
  struct world *world = attempt->instance->world;
  struct job *job = &world->jobs[attempt->job];
  if (job->attempt == attempt)
    job->attempt = NULL;
  world->servers[attempt->server].running -= attempt->runs;
  g_free (attempt);
}

static gboolean
is_abandoned (const struct attempt *attempt)
{
  return attempt->cancelled || attempt->instance->core == NULL
         || attempt->instance->generation != attempt->generation;
}

static void
end_attempt (struct attempt *attempt, enum msg_result result, gboolean sent)
{
  struct world *world = attempt->instance->world;
  struct delivery *delivery
      = delivery_new (attempt->instance, CORE_ATTEMPT_END);
  struct core_attempt_end *end = &delivery->event.attempt_end;
  delivery->generation = attempt->generation;
  end->request = attempt->job + 1;
  end->attempt = attempt->number;
  end->result = result;
  end->sent = sent;
  end->delivered = world->jobs[attempt->job].tokens_received > 0;
  end->resumable = TRUE;
  end->status = result == MSG_RESULT_OK ? 200 : 0;
  g_snprintf (delivery->text, sizeof delivery->text, "%u", attempt->job);
  end->body = str_of (delivery->text);
  end->content_type = STR_LIT ("text/plain");
  sim_after (&world->sim, between (world, 0, 3 * CLK_MS), deliver, delivery);
  attempt_free (attempt);
}

static void
run_attempt (struct attempt *attempt)
{
  struct world *world = attempt->instance->world;
  attempt->runs = TRUE;
  world->servers[attempt->server].running++;
  record (world, REC_RUN, attempt->instance->index, attempt->job)->server
      = attempt->server;
}

static void
on_attempt_timeout (void *ctx)
{
  struct attempt *attempt = ctx;
  if (is_abandoned (attempt))
    attempt_free (attempt);
  else
    end_attempt (attempt, MSG_RESULT_TIMED_OUT, TRUE);
}

static void
advance_attempt (void *ctx)
{
  struct attempt *attempt = ctx;
  struct world *world = attempt->instance->world;
  struct job *job = &world->jobs[attempt->job];
  gboolean down = world->servers[attempt->server].down_until > world->sim.clk.t;
  if (is_abandoned (attempt))
    attempt_free (attempt);
  else if (world->sim.clk.t >= attempt->until)
    end_attempt (attempt, MSG_RESULT_TIMED_OUT, TRUE);
  else if (attempt->breaks || down)
    end_attempt (attempt, MSG_RESULT_BROKEN, TRUE);
  else if (attempt->steps_left-- == 0)
    end_attempt (attempt, MSG_RESULT_OK, TRUE);
  else
    {
      struct delivery *delivery = delivery_new (attempt->instance, CORE_TOKENS);
      delivery->event.tokens.request = attempt->job + 1;
      delivery->event.tokens.attempt = attempt->number;
      delivery->event.tokens.count = 1;
      delivery->event.tokens.resumable = TRUE;
      job->tokens_received++;
      sim_after (&world->sim, 0, deliver, delivery);
      attempt->breaks = world->faults && sim_chance (&world->sim, 0.01);
      sim_after (&world->sim, between (world, 20 * CLK_MS, 80 * CLK_MS),
                 advance_attempt, attempt);
    }
}

/* Returns the result by which SERVER rejects an attempt, MSG_RESULT_OK if it
   accepts it.  */
static enum msg_result
rejection_of (struct world *world, const struct server *server)
{
  if (server->down_until > world->sim.clk.t
      || (world->faults && sim_chance (&world->sim, 0.04)))
    return MSG_RESULT_NOT_SENT;
  if (server->leaving)
    return MSG_RESULT_LEAVING;
  if (world->faults
      && (server->running >= SERVER_SLOTS || sim_chance (&world->sim, 0.04)))
    return MSG_RESULT_BUSY;
  return MSG_RESULT_OK;
}

/* An attempt reaches its server. One that was cancelled in transit may still
   run. If the instance was frozen meanwhile, it has perhaps not sent the
   attempt, and does so afterwards unless the time limit for that is over.  */
static void
attempt_arrives (void *ctx)
{
  struct attempt *attempt = ctx;
  struct world *world = attempt->instance->world;
  if (!attempt->deferred && is_frozen (attempt->instance)
      && sim_chance (&world->sim, 0.5))
    {
      attempt->deferred = TRUE;
      sim_after (&world->sim,
                 attempt->instance->frozen_until - world->sim.clk.t,
                 attempt_arrives, attempt);
      return;
    }
  if (attempt->deferred && world->sim.clk.t > attempt->send_by)
    {
      if (is_abandoned (attempt))
        attempt_free (attempt);
      else
        end_attempt (attempt, MSG_RESULT_UNUSED, FALSE);
      return;
    }
  enum msg_result rejection
      = rejection_of (world, &world->servers[attempt->server]);
  double fate = world->faults ? g_rand_double (world->sim.rand) : 1;
  if (is_abandoned (attempt))
    {
      if (rejection == MSG_RESULT_OK && sim_chance (&world->sim, 0.5))
        run_attempt (attempt);
      attempt_free (attempt);
    }
  else if (rejection != MSG_RESULT_OK)
    end_attempt (attempt, rejection, rejection != MSG_RESULT_NOT_SENT);
  else if (world->crashes)
    {
      world->servers[attempt->server].down_until = world->sim.clk.t + CLK_S;
      end_attempt (attempt, MSG_RESULT_BROKEN, TRUE);
    }
  else if (fate < 0.04) /* connection breaks before it runs */
    end_attempt (attempt, MSG_RESULT_BROKEN, TRUE);
  else
    {
      if (fate >= 0.06)
        run_attempt (attempt);
      if (fate < 0.08) /* hangs */
        sim_after (&world->sim, MAX (0, attempt->until - world->sim.clk.t),
                   on_attempt_timeout, attempt);
      else
        {
          attempt->breaks = fate < 0.12;
          sim_after (&world->sim, between (world, 2 * CLK_MS, CLK_S),
                     advance_attempt, attempt);
        }
    }
}

static void
open_attempt (struct instance *instance, const struct core_action *action)
{
  struct world *world = instance->world;
  guint index = (guint)action->open.request - 1;
  struct job *job = &world->jobs[index];
  struct attempt *attempt = g_new0 (struct attempt, 1);
  attempt->instance = instance;
  attempt->generation = instance->generation;
  attempt->job = index;
  attempt->number = action->open.attempt;
  attempt->server = (guint)(action->open.backend->name.s[1] - '0');
  attempt->until = world->sim.clk.t + action->open.timeout_us;
  attempt->send_by = world->sim.clk.t + action->open.send_within_us;
  attempt->steps_left = job->kind == JOB_STREAM ? 1 + pick (world, 20) : 0;
  job->attempt = attempt;
  record (world, REC_OPEN, instance->index, index)->server = attempt->server;
  sim_after (&world->sim, between (world, CLK_MS, 15 * CLK_MS), attempt_arrives,
             attempt);
}

#endif
