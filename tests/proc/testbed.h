/* Fixture of the tests of the guarantees in docs/PROMISES.md: a deployment of
   real processes, clients whose calls are recorded in a history, and functions
   that inject faults.  */
#ifndef TESTBED_H
#define TESTBED_H

#include "harness/workload.h"
#include "unit/unit.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>

static struct harness *harness;
static struct deployment *deployment;
static struct history *history;
static struct workload *workload;

/* Starts the deployment. Returns 0, or 1 if a process did not start (CUnit's
   result of a suite's initialization).  */
static int
testbed_start (const struct deployment_options *options)
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
testbed_stop (void)
{
  if (CU_get_number_of_failure_records () > 0)
    harness_explain (harness);
  workload_free (workload);
  history_free (history);
  deployment_free (deployment);
  harness_free (harness);
  return 0;
}

/* Adds an event with the current time to the history. VERSION is that of the
   configuration, 0 if the kind has none.  */
static inline void
testbed_record (enum history_kind kind, const char *process, guint64 version)
{
  const struct history_event event
      = { .kind = kind, .process = process, .version = version };
  history_add (history, &event);
}

/* Kills or freezes instance I with SIGNAL. From here on the history's rules
   accept that its clients are cut off.  */
static inline void
testbed_take_down (guint i, int signal)
{
  testbed_record (HISTORY_DOWN, deployment->instances[i].name, 0);
  harness_signal (deployment->instances[i].proc, signal);
}

/* Resumes instance I after SIGSTOP.  */
static inline void
testbed_resume (guint i)
{
  harness_signal (deployment->instances[i].proc, SIGCONT);
  testbed_record (HISTORY_UP, deployment->instances[i].name, 0);
}

/* Restarts instance I, which has ended, and waits until it is ready. Returns
   FALSE if it is not within the time limit.  */
static inline gboolean
testbed_restart (guint i)
{
  gboolean ok = deployment_start_instance (deployment, i)
                && deployment_wait_ready (deployment, i);
  if (ok)
    workload_set_live (workload, i, TRUE);
  testbed_record (HISTORY_UP, deployment->instances[i].name, 0);
  return ok;
}

/* Ends instance I with SIGNAL and reaps it; clients use the others from then
   on. Returns its exit status, 128 + signal number if a signal ended it.  */
static inline int
testbed_terminate (guint i, int signal)
{
  workload_set_live (workload, i, FALSE);
  if (signal == SIGKILL)
    testbed_take_down (i, signal);
  else
    harness_signal (deployment->instances[i].proc, signal);
  return harness_reap (deployment->instances[i].proc, HARNESS_TIMEOUT_MS);
}

/* Makes one call through instance INSTANCE. KEY, the idempotency key, may be
   NULL; TOKENS is the length of a completion.  */
static inline struct workload_outcome
testbed_call (enum workload_kind kind, guint instance, const char *id,
              const char *key, guint tokens)
{
  const struct workload_call call = {
    .kind = kind, .instance = instance, .id = id, .key = key, .tokens = tokens
  };
  return workload_execute (workload, &call);
}

/* Returns the sum of FIELD of GET /counts over N stand-ins.  */
static inline gint64
testbed_sum_counts (const struct deployment_process *processes, guint n,
                    const char *field)
{
  gint64 sum = 0;
  for (guint i = 0; i < n; i++)
    sum += MAX (0, harness_get_int (processes[i].proc->port, "/counts", field));
  return sum;
}

/* Returns the sum of counter NAME over all instances.  */
static inline gint64
testbed_sum_counters (const char *name)
{
  gint64 sum = 0;
  for (guint i = 0; i < deployment->n_instances; i++)
    sum += MAX (0, deployment_counter (deployment, i, name));
  return sum;
}

/* Sends a request to instance I's administration API with the operator's token.
   METHOD NULL is POST with a body and GET without; MATCH is the value of
   If-Match or NULL. The result is freed by harness_response_free.  */
static inline struct harness_response *
testbed_admin (guint i, const char *method, const char *path, const char *match,
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

/* Returns the instance that owns a shard whose name begins with SHARD, or 0 if
   none does yet. The dump lists the instance's own shards before the others. */
static inline guint
testbed_shard_owner (const char *shard)
{
  char *field = g_strconcat ("\"cell\":\"", shard, NULL);
  guint serving = 0;
  for (guint i = 0; i < deployment->n_instances; i++)
    {
      struct harness_response *reply
          = testbed_admin (i, NULL, "/dump", NULL, NULL);
      const char *owned_shards = strstr (reply->body->str, "\"cells\":[{");
      const char *other_shards = strstr (reply->body->str, "\"other_cells\":");
      const char *at = owned_shards ? strstr (owned_shards, field) : NULL;
      if (at != NULL && at < other_shards)
        serving = i;
      harness_response_free (reply);
    }
  g_free (field);
  return serving;
}

/* Returns the index of the process called NAME, or 0 if there is none.  */
static inline guint
testbed_find (const struct deployment_process *processes, guint n,
              const char *name)
{
  for (guint i = 0; i < n; i++)
    if (strcmp (processes[i].name, name) == 0)
      return i;
  return 0;
}

#endif
