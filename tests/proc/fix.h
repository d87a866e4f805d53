/* What the tests of the promises share: a deployment, callers with a history,
   and the faults that they bring about.  */
#ifndef FIX_H
#define FIX_H

#include "harness/workload.h"
#include "unit/unit.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>

static struct harness *harness;
static struct deployment *deployment;
static struct history *history;
static struct workload *workload;

static int
fix_start (const struct deployment_options *options)
{
  harness = harness_new ();
  history = history_new ();
  deployment = deployment_start (harness, options);
  if (deployment == NULL)
    return 1;
  workload = workload_new (deployment, history);
  return 0;
}

static int
fix_stop (void)
{
  workload_free (workload);
  history_free (history);
  deployment_free (deployment);
  harness_free (harness);
  return 0;
}

static inline void
fix_note (enum history_kind kind, const char *process, guint64 version)
{
  const struct history_event event
      = { .kind = kind, .process = process, .version = version };
  history_add (history, &event);
}

/* Sends SIGNAL to instance I, which may cut its callers off.  */
static inline void
fix_down (guint i, int signal)
{
  fix_note (HISTORY_DOWN, deployment->instances[i].name, 0);
  harness_signal (deployment->instances[i].proc, signal);
}

/* Lets the frozen instance I go on.  */
static inline void
fix_continue (guint i)
{
  harness_signal (deployment->instances[i].proc, SIGCONT);
  fix_note (HISTORY_UP, deployment->instances[i].name, 0);
}

/* Starts instance I again and waits until it is ready.  */
static inline gboolean
fix_up (guint i)
{
  gboolean ok = deployment_start_instance (deployment, i)
                && deployment_wait_ready (deployment, i);
  if (ok)
    workload_set_live (workload, i, TRUE);
  fix_note (HISTORY_UP, deployment->instances[i].name, 0);
  return ok;
}

/* Ends instance I and reaps it; callers are sent elsewhere. Returns its exit
   status.  */
static inline int
fix_end (guint i, int signal)
{
  workload_set_live (workload, i, FALSE);
  if (signal == SIGKILL)
    fix_down (i, signal);
  else
    harness_signal (deployment->instances[i].proc, signal);
  return harness_reap (deployment->instances[i].proc, HARNESS_TIMEOUT_MS);
}

static inline struct workload_outcome
fix_call (enum workload_kind what, guint entry, const char *id, const char *key,
          guint tokens)
{
  const struct workload_call call = {
    .kind = what, .instance = entry, .id = id, .key = key, .tokens = tokens
  };
  return workload_execute (workload, &call);
}

/* The sum of MEMBER of GET /counts over N nodes.  */
static inline gint64
fix_counts (const struct deployment_process *nodes, guint n, const char *member)
{
  gint64 sum = 0;
  for (guint i = 0; i < n; i++)
    sum += MAX (0, harness_get_int (nodes[i].proc->port, "/counts", member));
  return sum;
}

/* The sum of counter NAME over the instances.  */
static inline gint64
fix_counters (const char *name)
{
  gint64 sum = 0;
  for (guint i = 0; i < deployment->n_instances; i++)
    sum += MAX (0, deployment_counter (deployment, i, name));
  return sum;
}

/* GET PATH of instance I's administration API; the caller frees it.  */
static inline struct harness_response *
fix_admin (guint i, const char *method, const char *path, const char *match,
           const char *body)
{
  const char *const headers[] = { "Authorization", DEPLOYMENT_OPERATOR_BEARER,
                                  match ? "If-Match" : NULL, match, NULL };
  const struct harness_request call
      = { .method = method,
          .port = deployment->instances[i].proc->admin_port,
          .path = path,
          .headers = headers,
          .body = body };
  return harness_request (&call);
}

/* Returns the instance that serves the first cell whose name begins with CELL,
   0 if none does yet.  */
static inline guint
fix_owner (const char *cell)
{
  char *member = g_strconcat ("\"cell\":\"", cell, NULL);
  guint owner = 0;
  for (guint i = 0; i < deployment->n_instances; i++)
    {
      struct harness_response *reply = fix_admin (i, NULL, "/dump", NULL, NULL);
      const char *cells = strstr (reply->body->str, "\"cells\":[{");
      const char *others = strstr (reply->body->str, "\"other_cells\":");
      const char *at = cells ? strstr (cells, member) : NULL;
      if (at != NULL && at < others)
        owner = i;
      harness_response_free (reply);
    }
  g_free (member);
  return owner;
}

/* The number of the node called NAME.  */
static inline guint
fix_find (const struct deployment_process *nodes, guint n, const char *name)
{
  for (guint i = 0; i < n; i++)
    if (strcmp (nodes[i].name, name) == 0)
      return i;
  return 0;
}

#endif
