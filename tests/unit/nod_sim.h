/* Real instances of two failure domains in one process for test_nod.c, on a
   fake clock and from a seed: ordered connections that break, instances that
   stop, freeze and start anew, simple backend servers, the store of sim.h.
   What happens is recorded; the rules in test_nod.c read the record.  */
#ifndef NOD_SIM_H
#define NOD_SIM_H

#include "node/nod.h"
#include "unit/sim.h"

#define DOMAINS 2
#define INSTANCES 5
#define SERVERS 8 /* the first half are engines */
#define KEYS 120  /* idempotency keys */
#define JOBS_MAX 1000
#define SERVER_SLOTS 4
#define REPORT_US (500 * CLK_MS)   /* between load reports */
#define LINK_TICK_US (50 * CLK_MS) /* between looks at the connections */
#define GRACE_US (1 * CLK_S)       /* new requests still come after SHUTDOWN */

enum rec_kind
{
  REC_REQUEST,
  REC_GONE,
  REC_OPEN,
  REC_RUN,
  REC_FAIL,
  REC_REPLAY,
  REC_FINISH,
  REC_CONFIG,   /* a version is in force; servers: those drained */
  REC_TOLD,     /* of the engines that say they leave; servers */
  REC_LEAVE,    /* an engine says that it leaves */
  REC_BACK,     /* or is back */
  REC_DOWN,     /* an instance is gone */
  REC_FREEZE,   /* an instance is frozen */
  REC_WAKE,     /* and goes on */
  REC_SHUTDOWN, /* an instance is told to leave */
  REC_DRAINED   /* count: requests and results in progress */
};

struct rec
{
  enum rec_kind kind;
  gint64 at;
  guint instance;
  guint life; /* of the instance */
  guint job;
  guint server;
  guint servers; /* bit set */
  guint64 version;
  guint count;
  enum nod_ran ran;
  const char *code; /* of a failure, static */
  guint answer_of;  /* the job whose answer it is */
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
  gboolean other_body; /* of the key's two bodies */
  guint instance;
  guint life;
  gboolean taken;
  gboolean over; /* ended, or its caller or its entry is gone */
  guint got;     /* tokens */
  struct attempt *attempt;
};

struct world;

struct instance
{
  struct world *world;
  guint index;
  guint life; /* counts starts */
  struct nod *nod;
  struct ctr ctr;
  gint64 frozen_until;
  gint64 shut_at; /* 0: not told to leave */
  gboolean drained;
};

struct link
{
  gboolean up;
  guint epoch; /* counts breaks */
  gint64 retry_at;
  gint64 last[2]; /* arrival of the last message to the lower, higher index */
};

struct server
{
  gint64 down_until;
  gboolean leaving; /* by its own word */
  guint running;
};

struct world
{
  struct sim sim;
  struct sim_store store;
  struct instance instances[INSTANCES];
  struct link links[INSTANCES][INSTANCES]; /* by lower, higher index */
  struct server servers[SERVERS];
  struct job jobs[JOBS_MAX];
  guint n_jobs;
  GArray *history; /* of struct rec */
  gint64 cut_until;
  gint64 store_cut_until[DOMAINS];
  gboolean faults; /* servers fail at times */
  gboolean over;
};

struct note
{
  struct instance *instance;
  guint life;
  const struct link *link; /* of a message; else NULL */
  guint epoch;
  gboolean arrived; /* and waits for a frozen instance */
  struct nod_event event;
  struct msg *msg;
  struct storage_response answer;
  char text[32];
};

static struct rec *
record (struct world *world, enum rec_kind kind, guint instance, guint job)
{
  struct rec rec = { .kind = kind, .at = world->sim.clk.t };
  rec.instance = instance;
  rec.life = world->instances[instance].life;
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
note_free (struct note *note)
{
  msg_free (note->msg);
  if (note->answer.body != NULL)
    g_bytes_unref (note->answer.body);
  g_free (note);
}

static struct note *
note_new (struct instance *instance, enum nod_event_kind kind)
{
  struct note *note = g_new0 (struct note, 1);
  note->instance = instance;
  note->life = instance->life;
  note->event.kind = kind;
  return note;
}

/* Hands a note to its instance; a frozen one reads it later.  */
static void
deliver (void *ctx)
{
  struct note *note = ctx;
  struct instance *instance = note->instance;
  struct world *world = instance->world;
  gboolean lost = note->link != NULL && !note->arrived
                  && note->link->epoch != note->epoch;
  if (instance->nod == NULL || instance->life != note->life || lost)
    {
      note_free (note);
      return;
    }
  if (is_frozen (instance))
    {
      note->arrived = TRUE;
      sim_after (&world->sim, instance->frozen_until - world->sim.clk.t,
                 deliver, note);
      return;
    }
  guint job = (guint)note->event.request.id - 1;
  gboolean taken = nod_config (instance->nod) != NULL;
  if (note->event.kind == NOD_REQUEST && taken)
    {
      world->jobs[job].taken = TRUE;
      record (world, REC_REQUEST, instance->index, job);
    }
  if (note->event.kind != NOD_REQUEST || taken)
    nod_handle (instance->nod, &note->event);
  note_free (note);
}

static const char *const ids[INSTANCES] = { "i0", "i1", "i2", "i3", "i4" };

static struct link *
link_of (struct world *world, guint a, guint b)
{
  return &world->links[MIN (a, b)][MAX (a, b)];
}

/* Sends NOTE to instance TO after what FROM sent before.  */
static void
post (struct world *world, guint from, guint to, struct note *note,
      gint64 delay)
{
  gint64 *last = &link_of (world, from, to)->last[to > from];
  *last = MAX (*last, world->sim.clk.t + delay);
  sim_after (&world->sim, *last - world->sim.clk.t, deliver, note);
}

static void
send_message (struct instance *from, const char *id, const struct msg *msg)
{
  struct world *world = from->world;
  guint to = (guint)(id[1] - '0');
  const struct link *link = link_of (world, from->index, to);
  if (!link->up)
    return;
  struct note *note = note_new (&world->instances[to], NOD_MESSAGE);
  note->link = link;
  note->epoch = link->epoch;
  note->msg = msg_copy (msg);
  note->event.message.from = ids[from->index];
  note->event.message.msg = note->msg;
  gboolean near = from->index % DOMAINS == to % DOMAINS;
  gint64 slow = sim_chance (&world->sim, 0.02) ? 400 * CLK_MS : 0;
  post (world, from->index, to, note,
        between (world, CLK_MS / 5, (near ? 5 : 40) * CLK_MS + slow));
}

static void
tell_peer (struct world *world, guint from, guint to, enum nod_event_kind kind,
           gint64 delay)
{
  struct instance *instance = &world->instances[to];
  struct note *note = note_new (instance, kind);
  if (kind == NOD_PEER_UP)
    note->event.peer_up = ids[from];
  else
    note->event.peer_lost = ids[from];
  post (world, from, to, note, delay);
}

/* Breaks a connection: what is under way on it is lost; each side hears of it
   within NOTICE.  */
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
  tell_peer (world, a, b, NOD_PEER_LOST, between (world, 0, notice));
  tell_peer (world, b, a, NOD_PEER_LOST, between (world, 0, notice));
}

static void
check_link (struct world *world, guint a, guint b)
{
  struct link *link = link_of (world, a, b);
  const struct instance *x = &world->instances[a];
  const struct instance *y = &world->instances[b];
  gboolean cut
      = a % DOMAINS != b % DOMAINS && world->cut_until > world->sim.clk.t;
  if (cut)
    break_link (world, a, b, 2 * CLK_S);
  if (cut || link->up || world->sim.clk.t < link->retry_at || x->nod == NULL
      || y->nod == NULL || is_frozen (x) || is_frozen (y))
    return;
  link->up = TRUE;
  tell_peer (world, a, b, NOD_PEER_UP, between (world, 0, 5 * CLK_MS));
  tell_peer (world, b, a, NOD_PEER_UP, between (world, 0, 5 * CLK_MS));
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
struct ask
{
  struct instance *instance;
  guint life;
  guint64 token;
  struct storage_request call;
  gint64 until; /* of a watch */
};

static void
on_store (void *ctx, const struct storage_response *answer)
{
  struct ask *ask = ctx;
  struct note *note = note_new (ask->instance, NOD_STORE_ANSWER);
  note->life = ask->life;
  note->answer = *answer;
  if (answer->body != NULL)
    g_bytes_ref (answer->body);
  note->event.store_answer.token = ask->token;
  note->event.store_answer.answer = &note->answer;
  sim_after (&ask->instance->world->sim, 0, deliver, note);
  g_free (ask);
}

static void
on_store_silent (void *ctx)
{
  static const struct storage_response none = { .code = ERR_TIMEOUT };
  on_store (ctx, &none);
}

static void
watch (void *ctx)
{
  struct ask *ask = ctx;
  struct world *world = ask->instance->world;
  const struct sim_object *object
      = sim_object_of (&world->store, ask->call.name);
  if (world->over || world->sim.clk.t >= ask->until)
    on_store_silent (ask);
  else if (object->version > ask->call.expected)
    {
      ask->call.timeout_us = 2 * CLK_S;
      sim_store_start (&world->store, &ask->call, on_store, ask);
    }
  else
    sim_after (&world->sim, LINK_TICK_US, watch, ask);
}

static void
call_store (struct instance *instance, guint64 token,
            const struct storage_request *call)
{
  struct world *world = instance->world;
  struct ask *ask = g_new0 (struct ask, 1);
  *ask = (struct ask){ instance, instance->life, token, *call, 0 };
  ask->until = world->sim.clk.t + call->timeout_us;
  if (world->store_cut_until[instance->index % DOMAINS] > world->sim.clk.t)
    sim_after (&world->sim, MIN (call->timeout_us, 2 * CLK_S), on_store_silent,
               ask);
  else if (call->op == STORAGE_WATCH)
    watch (ask);
  else
    sim_store_start (&world->store, call, on_store, ask);
}

/* An attempt on a server. */
struct attempt
{
  struct instance *instance;
  guint life;
  guint job;
  guint32 number;
  guint server;
  gint64 until;
  guint left; /* steps of work */
  gboolean cancelled;
  gboolean breaks; /* before its end */
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
  return attempt->cancelled || attempt->instance->nod == NULL
         || attempt->instance->life != attempt->life;
}

static void
end_attempt (struct attempt *attempt, enum msg_result result, gboolean sent)
{
  struct world *world = attempt->instance->world;
  struct note *note = note_new (attempt->instance, NOD_ATTEMPT_END);
  struct nod_attempt_end *end = &note->event.attempt_end;
  note->life = attempt->life;
  end->request = attempt->job + 1;
  end->attempt = attempt->number;
  end->result = result;
  end->sent = sent;
  end->delivered = world->jobs[attempt->job].got > 0;
  end->resumable = TRUE;
  end->status = result == MSG_RESULT_OK ? 200 : 0;
  g_snprintf (note->text, sizeof note->text, "%u", attempt->job);
  end->answer = str_of (note->text);
  end->content_type = STR_LIT ("text/plain");
  sim_after (&world->sim, between (world, 0, 3 * CLK_MS), deliver, note);
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
work (void *ctx)
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
  else if (attempt->left-- == 0)
    end_attempt (attempt, MSG_RESULT_OK, TRUE);
  else
    {
      struct note *note = note_new (attempt->instance, NOD_TOKENS);
      note->event.tokens.request = attempt->job + 1;
      note->event.tokens.attempt = attempt->number;
      note->event.tokens.count = 1;
      note->event.tokens.resumable = TRUE;
      job->got++;
      sim_after (&world->sim, 0, deliver, note);
      attempt->breaks = world->faults && sim_chance (&world->sim, 0.01);
      sim_after (&world->sim, between (world, 20 * CLK_MS, 80 * CLK_MS), work,
                 attempt);
    }
}

/* Returns how the server refuses an attempt, OK if it does not.  */
static enum msg_result
refusal_of (struct world *world, const struct server *server)
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

/* An attempt reaches its server. One that was cancelled on its way may run
   all the same.  */
static void
reach (void *ctx)
{
  struct attempt *attempt = ctx;
  struct world *world = attempt->instance->world;
  enum msg_result refusal
      = refusal_of (world, &world->servers[attempt->server]);
  double fate = world->faults ? g_rand_double (world->sim.rand) : 1;
  if (is_abandoned (attempt))
    {
      if (refusal == MSG_RESULT_OK && sim_chance (&world->sim, 0.5))
        run_attempt (attempt);
      attempt_free (attempt);
    }
  else if (refusal != MSG_RESULT_OK)
    end_attempt (attempt, refusal, refusal != MSG_RESULT_NOT_SENT);
  else if (fate < 0.04) /* breaks before it runs */
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
          sim_after (&world->sim, between (world, 2 * CLK_MS, CLK_S), work,
                     attempt);
        }
    }
}

static void
open_attempt (struct instance *instance, const struct nod_action *action)
{
  struct world *world = instance->world;
  guint index = (guint)action->open.request - 1;
  struct job *job = &world->jobs[index];
  struct attempt *attempt = g_new0 (struct attempt, 1);
  attempt->instance = instance;
  attempt->life = instance->life;
  attempt->job = index;
  attempt->number = action->open.attempt;
  attempt->server = (guint)(action->open.backend->name.s[1] - '0');
  attempt->until = world->sim.clk.t + action->open.timeout_us;
  attempt->left = job->kind == JOB_STREAM ? 1 + pick (world, 20) : 0;
  job->attempt = attempt;
  record (world, REC_OPEN, instance->index, index)->server = attempt->server;
  sim_after (&world->sim, between (world, CLK_MS, 15 * CLK_MS), reach, attempt);
}

#endif
