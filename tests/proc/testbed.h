/* Fixture of the tests of the guarantees in docs/PROMISES.md: a deployment of
   real processes, clients whose calls are recorded in a history, and functions
   that inject faults.  */
#ifndef TESTBED_H
#define TESTBED_H

#include "harness/cal.h"
#include "unit/unit.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>

static struct har *har;
static struct dep *dep;
static struct his *his;
static struct cal *cal;

/* Starts the deployment. Returns 0, or 1 if a process did not start (CUnit's
   result of a suite's initialization).  */
static int
testbed_start (const struct dep_options *options)
{
  har = har_new ();
  his = his_new ();
  dep = dep_start (har, options);
  if (dep == NULL)
    return 1;
  cal = cal_new (dep, his);
  return 0;
}

static int
testbed_stop (void)
{
  cal_free (cal);
  his_free (his);
  dep_free (dep);
  har_free (har);
  return 0;
}

/* Adds an event with the current time to the history. VERSION is that of the
   configuration, 0 if the kind has none.  */
static inline void
testbed_record (enum his_kind kind, const char *process, guint64 version)
{
  const struct his_event event
      = { .kind = kind, .process = process, .version = version };
  his_add (his, &event);
}

/* Kills or freezes instance I with SIGNAL. From here on the history's rules
   accept that its clients are cut off.  */
static inline void
testbed_take_down (guint i, int signal)
{
  testbed_record (HIS_DOWN, dep->entries[i].name, 0);
  har_signal (dep->entries[i].proc, signal);
}

/* Resumes instance I after SIGSTOP.  */
static inline void
testbed_resume (guint i)
{
  har_signal (dep->entries[i].proc, SIGCONT);
  testbed_record (HIS_UP, dep->entries[i].name, 0);
}

/* Restarts instance I, which has ended, and waits until it is ready. Returns
   FALSE if it is not within the time limit.  */
static inline gboolean
testbed_restart (guint i)
{
  gboolean ok = dep_start_entry (dep, i) && dep_wait_ready (dep, i);
  if (ok)
    cal_set_live (cal, i, TRUE);
  testbed_record (HIS_UP, dep->entries[i].name, 0);
  return ok;
}

/* Ends instance I with SIGNAL and reaps it; clients use the others from then
   on. Returns its exit status, 128 + signal number if a signal ended it.  */
static inline int
testbed_terminate (guint i, int signal)
{
  cal_set_live (cal, i, FALSE);
  if (signal == SIGKILL)
    testbed_take_down (i, signal);
  else
    har_signal (dep->entries[i].proc, signal);
  return har_reap (dep->entries[i].proc, HAR_DEADLINE_MS);
}

/* Makes one call through instance INSTANCE. KEY, the idempotency key, may be
   NULL; TOKENS is the length of a completion.  */
static inline struct cal_end
testbed_call (enum cal_what kind, guint instance, const char *id,
              const char *key, guint tokens)
{
  const struct cal_call call = {
    .what = kind, .entry = instance, .id = id, .key = key, .tokens = tokens
  };
  return cal_one (cal, &call);
}

/* Returns the sum of FIELD of GET /counts over N stand-ins.  */
static inline gint64
testbed_sum_counts (const struct dep_node *processes, guint n,
                    const char *field)
{
  gint64 sum = 0;
  for (guint i = 0; i < n; i++)
    sum += MAX (0, har_get_int (processes[i].proc->port, "/counts", field));
  return sum;
}

/* Returns the sum of counter NAME over all instances.  */
static inline gint64
testbed_sum_counters (const char *name)
{
  gint64 sum = 0;
  for (guint i = 0; i < dep->n_entries; i++)
    sum += MAX (0, dep_counter (dep, i, name));
  return sum;
}

/* Sends a request to instance I's administration API with the operator's token.
   METHOD NULL is POST with a body and GET without; MATCH is the value of
   If-Match or NULL. The result is freed by har_reply_free.  */
static inline struct har_reply *
testbed_admin (guint i, const char *method, const char *path, const char *match,
               const char *body)
{
  const char *const headers[] = { "Authorization", DEP_OPERATOR_BEARER,
                                  match ? "If-Match" : NULL, match, NULL };
  const struct har_call call = { .method = method,
                                 .port = dep->entries[i].proc->admin_port,
                                 .path = path,
                                 .headers = headers,
                                 .body = body };
  return har_call (&call);
}

/* Returns the instance that owns a shard whose name begins with SHARD, or 0 if
   none does yet. The dump lists the instance's own shards before the others. */
static inline guint
testbed_shard_owner (const char *shard)
{
  char *field = g_strconcat ("\"cell\":\"", shard, NULL);
  guint serving = 0;
  for (guint i = 0; i < dep->n_entries; i++)
    {
      struct har_reply *reply = testbed_admin (i, NULL, "/dump", NULL, NULL);
      const char *owned_shards = strstr (reply->body->str, "\"cells\":[{");
      const char *other_shards = strstr (reply->body->str, "\"other_cells\":");
      const char *at = owned_shards ? strstr (owned_shards, field) : NULL;
      if (at != NULL && at < other_shards)
        serving = i;
      har_reply_free (reply);
    }
  g_free (field);
  return serving;
}

/* Returns the index of the process called NAME, or 0 if there is none.  */
static inline guint
testbed_find (const struct dep_node *processes, guint n, const char *name)
{
  for (guint i = 0; i < n; i++)
    if (strcmp (processes[i].name, name) == 0)
      return i;
  return 0;
}

#endif
