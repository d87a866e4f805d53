/* Invariants of a run with several simulated instances. Each check_ function
   checks one of them on the recorded history.  */
#ifndef CORE_RULES_H
#define CORE_RULES_H

#include "unit/core_world.h"

#define END_WITHIN_US (15 * CLK_S)    /* a request, after the last fault */
#define LEAVE_WITHIN_US (3 * CLK_S)   /* no new work for a leaving server */
#define CONFIG_WITHIN_US (10 * CLK_S) /* last version, after the last fault */

/* What the history says about one request. */
struct outcome
{
  const struct rec *request;
  const struct rec *end; /* the last record of an end */
  gint64 abandoned_at;   /* client or instance is gone; 0: neither */
  guint ends;
  guint runs;
};

struct report
{
  struct world *world;
  struct outcome outcomes[JOBS_MAX];
  gint64 faults_ended;
  const char *violation; /* first rule that was violated */
  const char *code;      /* error code of the request, or NULL */
  guint subject;         /* job, server or instance that violates it */
};

static void
violate (struct report *report, const char *rule, guint subject)
{
  if (report->violation == NULL)
    report->subject = subject;
  if (report->violation == NULL)
    report->violation = rule;
}

static const struct rec *
rec_at (const struct report *report, guint i)
{
  return &g_array_index (report->world->history, struct rec, i);
}

static void
abandon_requests (struct report *report, const struct rec *stop)
{
  for (guint i = 0; i < report->world->n_jobs; i++)
    {
      struct outcome *job = &report->outcomes[i];
      if (job->request != NULL && job->request->instance == stop->instance
          && job->request->generation == stop->generation
          && job->abandoned_at == 0)
        job->abandoned_at = stop->at;
    }
}

static void
summarize (struct report *report)
{
  for (guint i = 0; i < report->world->history->len; i++)
    {
      const struct rec *rec = rec_at (report, i);
      struct outcome *job = &report->outcomes[rec->job];
      switch (rec->kind)
        {
        case REC_REQUEST:
          job->request = rec;
          break;
        case REC_DISCONNECT:
          job->abandoned_at = rec->at;
          break;
        case REC_RUN:
          job->runs++;
          break;
        case REC_FAIL:
        case REC_REPLAY:
        case REC_FINISH:
          job->ends++;
          job->end = rec;
          break;
        case REC_STOP:
          abandon_requests (report, rec);
          break;
        default:
          break;
        }
    }
}

/* Every request ends exactly once and in time, unless its client disconnected
   or its instance stopped.  */
static void
check_ends (struct report *report)
{
  for (guint i = 0; i < report->world->n_jobs; i++)
    {
      const struct outcome *job = &report->outcomes[i];
      if (job->request == NULL)
        continue;
      gint64 due = MAX (job->request->at, report->faults_ended) + END_WITHIN_US;
      if (job->ends > 1)
        violate (report, "a request ended twice", i);
      if (job->ends == 0 && job->abandoned_at == 0)
        violate (report, "a request did not end", i);
      if (job->ends == 1 && job->end->at > due)
        violate (report, "a request ended late", i);
      if (job->ends == 1 && job->abandoned_at != 0
          && job->end->at > job->abandoned_at)
        violate (report, "a response after the client disconnected", i);
    }
}

/* A call that is not repeatable runs at most once; with an idempotency key, at
   most once for all requests with the key.  */
static void
check_runs (struct report *report)
{
  guint runs[KEYS] = { 0 };
  for (guint i = 0; i < report->world->n_jobs; i++)
    {
      const struct job *job = &report->world->jobs[i];
      guint n = report->outcomes[i].runs;
      if (job->kind == JOB_ONCE && n > 1)
        violate (report, "a call that is not repeatable ran twice", i);
      if (job->kind == JOB_KEYED && (runs[job->key] += n) > 1)
        violate (report, "a keyed call ran twice", i);
    }
}

/* A request reported as not run did not run; one reported as run did.  */
static void
check_rejections (struct report *report)
{
  for (guint i = 0; i < report->world->n_jobs; i++)
    {
      const struct outcome *job = &report->outcomes[i];
      if (job->ends == 0)
        continue;
      if (job->end->kind == REC_FAIL && job->end->ran == CORE_RAN_NO
          && job->runs > 0)
        violate (report, "a request that ran was reported as not run", i);
      if ((job->end->kind == REC_FINISH
           || (job->end->kind == REC_FAIL && job->end->ran == CORE_RAN_YES))
          && job->runs == 0)
        violate (report, "a response without a run", i);
    }
}

/* A replayed response comes from the only run of the key, and that run had the
   same body.  */
static void
check_replays (struct report *report)
{
  const struct world *world = report->world;
  for (guint i = 0; i < world->n_jobs; i++)
    {
      const struct outcome *job = &report->outcomes[i];
      if (job->ends == 0 || job->end->kind != REC_REPLAY)
        continue;
      guint from = job->end->response_of;
      if (from >= world->n_jobs || report->outcomes[from].runs != 1
          || world->jobs[from].key != world->jobs[i].key
          || world->jobs[from].other_body != world->jobs[i].other_body)
        violate (report, "a replay of another response", i);
    }
}

struct leaving_state
{
  gint64 all_know_since[SERVERS]; /* all running instances; 0: not yet */
  gboolean leaves[SERVERS];       /* reported by the server */
  guint64 version;                /* newest configuration in force anywhere */
  guint drains;                   /* servers drained in it */
  guint drained[INSTANCES];       /* drained servers in each configuration */
  guint reported[INSTANCES];      /* leaving servers last reported to each */
  gboolean runs[INSTANCES];
};

/* Returns how many running instances of SERVER's failure domain have, or have
   not, been informed that it is leaving.  */
static guint
count_running (const struct leaving_state *state, guint server, gboolean aware)
{
  guint n = 0;
  for (guint i = server % DOMAINS; i < INSTANCES; i += DOMAINS)
    {
      guint leaving = (state->drained[i] & state->drains)
                      | (state->leaves[server] ? state->reported[i] : 0);
      n += state->runs[i] && (leaving >> server & 1) == (guint)aware;
    }
  return n;
}

static void
note_drains (struct leaving_state *state, const struct rec *rec)
{
  state->drained[rec->instance] = rec->servers;
  if (rec->version <= state->version)
    return;
  state->version = rec->version;
  state->drains = rec->servers;
}

static void
update_leaving (struct leaving_state *state, const struct rec *rec)
{
  guint i = rec->instance;
  if (rec->kind == REC_STOP)
    state->drained[i] = state->reported[i] = 0;
  if (rec->kind == REC_STOP || rec->kind == REC_FREEZE)
    state->runs[i] = FALSE;
  if (rec->kind == REC_LOAD_REPORT || rec->kind == REC_CONFIG)
    state->runs[i] = TRUE;
  if (rec->kind == REC_LOAD_REPORT)
    state->reported[i] = rec->servers;
  if (rec->kind == REC_CONFIG)
    note_drains (state, rec);
  if (rec->kind == REC_LEAVE || rec->kind == REC_RETURN)
    state->leaves[rec->server] = rec->kind == REC_LEAVE;
  for (guint s = 0; s < SERVERS; s++)
    if (count_running (state, s, TRUE) == 0)
      state->all_know_since[s] = 0;
    else if (state->all_know_since[s] == 0
             && count_running (state, s, FALSE) == 0)
      state->all_know_since[s] = rec->at;
}

/* A leaving server gets no new work 3 s after all running instances of its
   failure domain were informed. This holds also if instances are frozen, cut
   off or started later, as long as an informed one keeps running.  */
static void
check_leaving (struct report *report)
{
  struct leaving_state state = { 0 };
  for (guint i = 0; i < report->world->history->len; i++)
    {
      const struct rec *rec = rec_at (report, i);
      update_leaving (&state, rec);
      if ((rec->kind == REC_OPEN || rec->kind == REC_RUN)
          && state.all_know_since[rec->server] != 0
          && rec->at - state.all_know_since[rec->server] > LEAVE_WITHIN_US)
        violate (report, "a leaving server got new work", rec->job);
    }
}

/* The configuration version of an instance never decreases, and all instances
   have the last version in the end.  */
static void
check_config (struct report *report)
{
  struct world *world = report->world;
  guint64 version[INSTANCES] = { 0 };
  guint64 last = sim_object_of (&world->store, "config")->version;
  for (guint i = 0; i < world->history->len; i++)
    {
      const struct rec *rec = rec_at (report, i);
      if (rec->kind == REC_STOP)
        version[rec->instance] = 0;
      if (rec->kind != REC_CONFIG)
        continue;
      if (rec->version <= version[rec->instance] || rec->version > last)
        violate (report, "a configuration version decreased", rec->instance);
      if (rec->version == last
          && rec->at > report->faults_ended + CONFIG_WITHIN_US
          && version[rec->instance] != 0)
        violate (report, "a configuration came late", rec->instance);
      version[rec->instance] = rec->version;
    }
  for (guint i = 0; i < INSTANCES; i++)
    if (world->instances[i].core != NULL && version[i] != last)
      violate (report, "an instance has an old configuration", i);
}

/* DRAINED is sent only with no work in progress. All instances send it at the
   end of the run, when all work is done; one that does not still counts a
   queue entry or a grant.  */
static void
check_drained (struct report *report)
{
  for (guint i = 0; i < report->world->history->len; i++)
    if (rec_at (report, i)->kind == REC_DRAINED
        && rec_at (report, i)->count > 0)
      violate (report, "drained with work in progress",
               rec_at (report, i)->instance);
  for (guint i = 0; i < INSTANCES; i++)
    if (!report->world->instances[i].drained)
      violate (report, "an idle instance is not drained", i);
}

/* A request is completed unless its client disconnected or its instance was
   stopped or frozen.  */
static void
check_responses (struct report *report)
{
  gboolean frozen[INSTANCES] = { FALSE };
  for (guint i = 0; i < report->world->history->len; i++)
    if (rec_at (report, i)->kind == REC_FREEZE)
      frozen[rec_at (report, i)->instance] = TRUE;
  for (guint i = 0; i < report->world->n_jobs; i++)
    {
      const struct outcome *job = &report->outcomes[i];
      if (job->request != NULL && job->abandoned_at == 0
          && !frozen[job->request->instance]
          && (job->ends == 0 || job->end->kind != REC_FINISH))
        {
          report->code = report->code ? report->code
                         : job->ends  ? job->end->code
                                      : NULL;
          violate (report, "a request was not completed", i);
        }
    }
}

static void
check_all (struct report *report)
{
  summarize (report);
  check_ends (report);
  check_runs (report);
  check_rejections (report);
  check_replays (report);
  check_leaving (report);
  check_config (report);
  check_drained (report);
}

#endif
