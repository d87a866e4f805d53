#include "soak/soak_instance.h"

#include <signal.h>

#define DOWN_MIN_MS 300 /* from a signal that ends a process to its restart */
#define DOWN_MAX_MS 2000

struct soak_instance
{
  struct soak_instance_options options;
  struct harness_process *proc; /* owned by the harness */
  struct fault_proxy *store_proxy;
  char *settings;    /* path */
  char address[32];  /* for clients */
  guint starts;      /* for distinct log files */
  gint64 restart_at; /* monotonic microseconds */
};

static void
start (struct soak_instance *instance)
{
  const struct soak_instance_options *options = &instance->options;
  char *name
      = g_strdup_printf ("gate-%u-%u", options->number, instance->starts++);
  const char *argv[] = { "packages/jacinthward/jacinthward", "--settings",
                         instance->settings, NULL };
  instance->restart_at = 0;
  soak_traffic_started (options->traffic, options->number, instance->address);
  instance->proc = harness_start (options->harness, name, argv);
  g_assert (instance->proc != NULL);
  g_free (name);
}

struct soak_instance *
soak_instance_new (const struct soak_instance_options *options)
{
  struct soak_instance *instance = g_new0 (struct soak_instance, 1);
  guint host = 10 + options->number; /* last byte of the address */
  char *target = g_strdup_printf ("127.0.0.1:%u", options->store_port);
  instance->options = *options;
  instance->store_proxy = fault_proxy_new (target);
  g_free (target);
  g_snprintf (instance->address, sizeof instance->address, "127.0.0.%u:%u",
              host, options->client_port);
  char *text = g_strdup_printf (
      "[instance]\nid=gate-%u\ndomain=d%u\nregion=r\ncharts=" JW_SOURCE_DIR
      "/charts\n[gate]\ncallers=%s\nready=127.0.0.%u:%u\nkey_limit_ms=%d\n"
      "grace_ms=%d\ndrain_ms=%d\nretry_ratio=0.2\nretry_slack=50\n"
      "[peers]\nlisten=127.0.0.%u:%u\nseeds=127.0.0.10;127.0.0.11;\n"
      "[store]\naddress=127.0.0.1:%u\n[domains]\nd0=r\nd1=r\n",
      options->number, options->number % 2, instance->address, host,
      options->ready_port, SOAK_KEY_LIMIT_MS, SOAK_GRACE_MS, SOAK_DRAIN_MS,
      host, options->peer_port, fault_proxy_port (instance->store_proxy));
  instance->settings = g_strdup_printf (
      "%s/gate-%u.ini", harness_dir (options->harness), options->number);
  g_assert (g_file_set_contents (instance->settings, text, -1, NULL));
  g_free (text);
  start (instance);
  return instance;
}

void
soak_instance_free (struct soak_instance *instance)
{
  fault_proxy_free (instance->store_proxy);
  g_free (instance->settings);
  g_free (instance);
}

/* Returns what was done to the process.  */
static const struct soak_process *
state_of (const struct soak_instance *instance)
{
  return soak_traffic_process (instance->options.traffic,
                               instance->options.number);
}

void
soak_instance_signal (struct soak_instance *instance, int signal)
{
  if (harness_pid (instance->proc) == 0)
    return;
  soak_traffic_signalled (instance->options.traffic, instance->options.number,
                          signal);
  if (signal == SIGTERM || signal == SIGKILL)
    instance->restart_at = g_get_monotonic_time ()
                           + (gint64)g_rand_int_range (instance->options.rand,
                                                       DOWN_MIN_MS, DOWN_MAX_MS)
                                 * 1000;
  harness_signal (instance->proc, signal);
}

static void
record_violation (const struct soak_instance *instance, const char *text)
{
  char *line
      = g_strdup_printf ("instance %u %s", instance->options.number, text);
  soak_traffic_violation (instance->options.traffic, line);
  g_free (line);
}

/* Kills a process that is stopping, if its grace time is over.  */
static void
enforce_grace_time (struct soak_instance *instance)
{
  const struct soak_process *state = state_of (instance);
  if (state->stops == 0 || state->killed
      || g_get_monotonic_time () - state->stopped_at < SOAK_GRACE_MS * 1000)
    return;
  if (state->pauses == 0)
    record_violation (instance, "still runs after its grace time");
  soak_instance_signal (instance, SIGKILL);
}

/* Returns whether a process that has not been killed may end with STATUS. A
   signal ends it before it has installed its handlers, which it does before it
   accepts connections.  */
static gboolean
may_end (const struct soak_process *state, int status)
{
  if (!state->accepted
      && ((status == 128 + SIGTERM && state->stops > 0)
          || (status == 128 + SIGHUP && state->reloads > 0)))
    return TRUE;
  return status == 0 && state->stops > 0;
}

gboolean
soak_instance_supervise (struct soak_instance *instance)
{
  if (harness_pid (instance->proc) != 0)
    {
      enforce_grace_time (instance);
      return FALSE;
    }
  if (g_get_monotonic_time () < instance->restart_at)
    return FALSE;
  const struct soak_process *state = state_of (instance);
  int status = harness_reap (instance->proc, 0);
  if (!state->killed && !may_end (state, status))
    {
      char *text = g_strdup_printf ("ended with status %d", status);
      record_violation (instance, text);
      g_free (text);
    }
  start (instance);
  return TRUE;
}

gboolean
soak_instance_is_running (const struct soak_instance *instance)
{
  return state_of (instance)->stops == 0 && harness_pid (instance->proc) != 0;
}

struct fault_proxy *
soak_instance_store_proxy (const struct soak_instance *instance)
{
  return instance->store_proxy;
}
