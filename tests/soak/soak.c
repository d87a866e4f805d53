/* Randomized fault soak of the reverse proxy. Real instances and the stand-in
   of the platform's store run as processes. Faults are injected from outside,
   by signals and network proxies, and the guarantees are checked from what the
   simulated clients and backend servers observe. A seed determines the schedule
   of faults.  */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "harness/harness.h"
#include "soak/soak_config.h"
#include "soak/fault_proxy.h"
#include "soak/soak_traffic.h"

#define INSTANCES_MAX 40
/* Setting key_limit_ms: a key must not be accepted this long after it was
   revoked.  */
#define KEY_LIMIT_MS 2500
#define SEND_INTERVAL_MS 8 /* between requests of the simulated clients */
/* Time between the starts of two faults.  */
#define FAULT_INTERVAL_MIN_MS 150
#define FAULT_INTERVAL_MAX_MS 700
/* Duration of a fault; faults overlap.  */
#define FAULT_DURATION_MIN_MS 300
#define FAULT_DURATION_MAX_MS 2000
#define STARTUP_MS 6000   /* a quarter of it passes before the first fault */
#define RECOVERY_MS 5000  /* between the end of all faults and the probe */
#define PROBE_REQUESTS 60 /* four of five must be served */
#define KEYS 3

struct instance
{
  struct harness_process *proc;
  struct fault_proxy *store_proxy; /* between the instance and the store */
  char *settings;
  char address[32]; /* for clients */
  guint starts;     /* for distinct log files */
  gboolean paused;  /* by SIGSTOP */
};

static struct
{
  struct harness *harness;
  struct harness_process *store;
  struct soak_traffic *traffic;
  /* Between the instances and each server.  */
  struct fault_proxy *server_proxies[SOAK_SERVERS];
  struct instance instances[INSTANCES_MAX];
  guint n_instances;
  GRand *rand;
  GString *schedule;        /* log of faults, with their times */
  gint64 started_at;        /* monotonic microseconds */
  guint64 config_version;   /* newest one */
  gboolean key_valid[KEYS]; /* in the configuration */
  gboolean server_down[SOAK_SERVERS];
  gboolean store_paused;
  gboolean verbose;
} soak;

/* X (NAME): faults, and actions of an operator, that a schedule consists of */
#define ACTIONS(X)                                                             \
  X (PAUSE_INSTANCE)                                                           \
  X (KILL_INSTANCE)                                                            \
  X (STOP_INSTANCE)                                                            \
  X (PAUSE_STORE)                                                              \
  X (STORE_FAULT)                                                              \
  X (SERVER_FAULT)                                                             \
  X (RESET_SERVER)                                                             \
  X (CRASH_SERVER)                                                             \
  X (DRAIN_SERVER)                                                             \
  X (REVOKE_KEY)

enum action
{
#define ACTION_ENUM(id) id,
  ACTIONS (ACTION_ENUM)
#undef ACTION_ENUM
      ACTION_N
};

static const char *const action_names[] = {
#define ACTION_NAME(id) #id,
  ACTIONS (ACTION_NAME)
#undef ACTION_NAME
};

static const char *
action_name (enum action action)
{
  return action < ACTION_N ? action_names[action] : "?";
}

static void record_step (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Adds a line with the time to the schedule.  */
static void
record_step (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_string_append_printf (
      soak.schedule, "%7.3f %s\n",
      (double)(g_get_monotonic_time () - soak.started_at) / 1e6, text);
  if (soak.verbose)
    g_print ("%s\n", text);
  g_free (text);
}

static guint
random_below (guint n)
{
  return (guint)g_rand_int_range (soak.rand, 0, (gint)n);
}

static guint
random_ms (guint min, guint max)
{
  return min + random_below (max - min);
}

/* Writes object NAME to the store: creates it if CREATE, else replaces the
   present version. Returns whether the store has acknowledged it.  */
static gboolean
put_object (const char *name, const char *body, gboolean create)
{
  char *path = g_strdup_printf ("/objects/%s", name);
  struct harness_request call = { .port = soak.store->port, .path = path };
  const char *headers[] = { "If-None-Match", "*", NULL };
  struct harness_response *before = NULL;
  if (!create)
    {
      before = harness_request (&call);
      headers[0] = "If-Match";
      headers[1] = g_hash_table_lookup (before->headers, "etag");
    }
  call.method = "PUT";
  call.headers = headers;
  call.body = body;
  struct harness_response *reply = harness_request (&call);
  gboolean ok = reply->status == 200;
  harness_response_free (reply);
  if (before != NULL)
    harness_response_free (before);
  g_free (path);
  return ok;
}

/* Writes a configuration with the keys that are valid now. Returns whether the
   store has acknowledged it.  */
static gboolean
put_config (gboolean create)
{
  char *text = soak_config_text (++soak.config_version, soak.key_valid, KEYS);
  gboolean ok = put_object ("config/main", text, create);
  g_free (text);
  return ok;
}

static gboolean
put_server (guint i, gboolean leaving, gboolean create)
{
  char *name = g_strdup_printf ("servers/i-%u", i);
  char *body = soak_server_text (fault_proxy_port (soak.server_proxies[i]),
                                 i % 2, leaving);
  gboolean ok = put_object (name, body, create);
  g_free (name);
  g_free (body);
  return ok;
}

static void
start_instance (struct instance *instance)
{
  char *name = g_strdup_printf (
      "gate-%u-%u", (guint)(instance - soak.instances), instance->starts++);
  const char *argv[] = { "packages/jacinthward/jacinthward", "--settings",
                         instance->settings, NULL };
  instance->proc = harness_start (soak.harness, name, argv);
  g_free (name);
}

/* Creates instance I, with its proxy to the store and its settings, and starts
   it. Instances use the same ports on addresses of their own.  */
static void
make_instance (guint i, guint client_port, guint ready_port, guint peer_port)
{
  struct instance *instance = &soak.instances[i];
  char *target = g_strdup_printf ("127.0.0.1:%d", soak.store->port);
  instance->store_proxy = fault_proxy_new (target);
  g_free (target);
  g_snprintf (instance->address, sizeof instance->address, "127.0.0.%u:%u",
              10 + i, client_port);
  char *text = g_strdup_printf (
      "[instance]\nid=gate-%u\ndomain=d%u\nregion=r\ncharts=" JW_SOURCE_DIR
      "/charts\n[gate]\ncallers=%s\nready=127.0.0.%u:%u\nkey_limit_ms=%d\n"
      "grace_ms=3000\nretry_ratio=0.2\nretry_slack=50\n"
      "[peers]\nlisten=127.0.0.%u:%u\nseeds=127.0.0.10;127.0.0.11;\n"
      "[store]\naddress=127.0.0.1:%u\n[domains]\nd0=r\nd1=r\n",
      i, i % 2, instance->address, 10 + i, ready_port, KEY_LIMIT_MS, 10 + i,
      peer_port, fault_proxy_port (instance->store_proxy));
  instance->settings
      = g_strdup_printf ("%s/gate-%u.ini", harness_dir (soak.harness), i);
  g_assert (g_file_set_contents (instance->settings, text, -1, NULL));
  g_free (text);
  start_instance (instance);
}

/* Runs the main loop for MS milliseconds.  */
static void
run_for (guint ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)ms * 1000;
  while (g_get_monotonic_time () < end)
    {
      while (g_main_context_iteration (NULL, FALSE))
        ;
      g_usleep (500);
    }
}

static void
send_one (void)
{
  char key[8];
  g_snprintf (key, sizeof key, "k%u", random_below (KEYS));
  soak_traffic_send (soak.traffic,
                     soak.instances[random_below (soak.n_instances)].address,
                     (enum soak_route)random_below (SOAK_ROUTE_N), key);
}

static gboolean
on_send (gpointer data)
{
  (void)data;
  send_one ();
  return G_SOURCE_CONTINUE;
}

static void
restore_key (guint which)
{
  char key[8];
  g_snprintf (key, sizeof key, "k%u", which);
  /* From now on requests with the key may run again.  */
  soak_traffic_revoke_key (soak.traffic, key, G_MAXINT64);
  soak.key_valid[which] = TRUE;
  g_assert (put_config (FALSE));
}

/* A scheduled end of a fault. Faults of the same target may overlap: the
   latest start or end takes effect.  */
struct fault_end
{
  enum action action;
  guint which;
};

/* Writes to the store block this process, so they are put off while the store
   is paused.  */
static gboolean
writes_to_store (enum action action)
{
  return action == DRAIN_SERVER || action == REVOKE_KEY;
}

static gboolean
on_fault_end (gpointer data)
{
  struct fault_end *fault_end = data;
  if (writes_to_store (fault_end->action) && soak.store_paused)
    return G_SOURCE_CONTINUE;
  struct instance *instance = &soak.instances[fault_end->which];
  switch (fault_end->action)
    {
    case PAUSE_INSTANCE:
      harness_signal (instance->proc, SIGCONT);
      instance->paused = FALSE;
      break;
    case KILL_INSTANCE:
    case STOP_INSTANCE:
      if (harness_reap (instance->proc, 0) >= 0)
        start_instance (instance);
      break;
    case PAUSE_STORE:
      harness_signal (soak.store, SIGCONT);
      soak.store_paused = FALSE;
      break;
    case STORE_FAULT:
      fault_proxy_set_mode (instance->store_proxy, FAULT_PROXY_NONE);
      break;
    case SERVER_FAULT:
      fault_proxy_set_mode (soak.server_proxies[fault_end->which],
                            FAULT_PROXY_NONE);
      break;
    case CRASH_SERVER:
      soak_traffic_set_down (soak.traffic, fault_end->which, FALSE);
      soak.server_down[fault_end->which] = FALSE;
      break;
    case DRAIN_SERVER:
      put_server (fault_end->which, FALSE, FALSE);
      break;
    case REVOKE_KEY:
      restore_key (fault_end->which);
      break;
    case RESET_SERVER:
    case ACTION_N:
      break;
    }
  record_step ("end %s %u", action_name (fault_end->action), fault_end->which);
  return G_SOURCE_REMOVE;
}

static void
schedule_fault_end (enum action action, guint which)
{
  struct fault_end *fault_end = g_new (struct fault_end, 1);
  *fault_end = (struct fault_end){ action, which };
  guint ms = random_ms (FAULT_DURATION_MIN_MS, FAULT_DURATION_MAX_MS);
  if (action == REVOKE_KEY)
    ms += KEY_LIMIT_MS;
  g_timeout_add_full (G_PRIORITY_DEFAULT, ms, on_fault_end, fault_end, g_free);
}

/* Removes a key from the configuration, and lets the servers report requests
   that use it once KEY_LIMIT_MS has passed.  */
static void
revoke_key (guint which)
{
  char key[8];
  if (!soak.key_valid[which])
    return;
  soak.key_valid[which] = FALSE;
  g_assert (put_config (FALSE));
  g_snprintf (key, sizeof key, "k%u", which);
  soak_traffic_revoke_key (
      soak.traffic, key, g_get_monotonic_time () + (gint64)KEY_LIMIT_MS * 1000);
}

/* Starts a fault with a random target and schedules its end.  */
static void
begin_fault (enum action action)
{
  guint instance = random_below (soak.n_instances);
  guint server = random_below (SOAK_SERVERS);
  guint which = instance;
  switch (action)
    {
    case PAUSE_INSTANCE:
      harness_signal (soak.instances[instance].proc, SIGSTOP);
      soak.instances[instance].paused = TRUE;
      break;
    case KILL_INSTANCE:
      harness_signal (soak.instances[instance].proc, SIGKILL);
      break;
    case STOP_INSTANCE:
      harness_signal (soak.instances[instance].proc, SIGTERM);
      break;
    case PAUSE_STORE:
      harness_signal (soak.store, SIGSTOP);
      soak.store_paused = TRUE;
      break;
    case STORE_FAULT:
      fault_proxy_set_mode (
          soak.instances[instance].store_proxy,
          (enum fault_proxy_mode) (1 + random_below (FAULT_PROXY_MODE_N - 1)));
      break;
    case SERVER_FAULT:
      which = server;
      fault_proxy_set_mode (
          soak.server_proxies[server],
          (enum fault_proxy_mode) (1 + random_below (FAULT_PROXY_MODE_N - 1)));
      break;
    case RESET_SERVER:
      which = server;
      fault_proxy_reset (soak.server_proxies[server]);
      break;
    case CRASH_SERVER:
      which = server;
      soak_traffic_set_down (soak.traffic, server, TRUE);
      soak.server_down[server] = TRUE;
      break;
    case DRAIN_SERVER:
      which = server;
      put_server (server, TRUE, FALSE);
      break;
    case REVOKE_KEY:
      which = random_below (KEYS);
      revoke_key (which);
      break;
    case ACTION_N:
      return;
    }
  record_step ("begin %s %u", action_name (action), which);
  schedule_fault_end (action, which);
}

/* Sends requests and starts random faults for SECONDS.  */
static void
inject_faults (guint seconds)
{
  gint64 end = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  guint sender = g_timeout_add (SEND_INTERVAL_MS, on_send, NULL);
  while (g_get_monotonic_time () < end)
    {
      enum action action = (enum action)random_below (ACTION_N);
      if (!writes_to_store (action) || !soak.store_paused)
        begin_fault (action);
      run_for (random_ms (FAULT_INTERVAL_MIN_MS, FAULT_INTERVAL_MAX_MS));
    }
  g_source_remove (sender);
}

/* Ends all faults, waits for recovery and sends PROBE_REQUESTS. Returns how
   many of them were served.  */
static guint
end_faults_and_probe (void)
{
  run_for (KEY_LIMIT_MS + FAULT_DURATION_MAX_MS + 200);
  harness_signal (soak.store, SIGCONT);
  soak.store_paused = FALSE;
  for (guint i = 0; i < soak.n_instances; i++)
    {
      struct instance *instance = &soak.instances[i];
      harness_signal (instance->proc, SIGCONT);
      fault_proxy_set_mode (instance->store_proxy, FAULT_PROXY_NONE);
    }
  for (guint i = 0; i < SOAK_SERVERS; i++)
    {
      fault_proxy_set_mode (soak.server_proxies[i], FAULT_PROXY_NONE);
      soak_traffic_set_down (soak.traffic, i, FALSE);
      put_server (i, FALSE, FALSE);
    }
  for (guint i = 0; i < KEYS; i++)
    restore_key (i);
  run_for (4000); /* a stopping instance takes up to grace_ms */
  for (guint i = 0; i < soak.n_instances; i++)
    if (harness_reap (soak.instances[i].proc, 0) >= 0)
      start_instance (&soak.instances[i]);
  run_for (RECOVERY_MS);
  struct soak_counts *counts = soak_traffic_counts (soak.traffic);
  guint before = counts->served;
  for (guint i = 0; i < PROBE_REQUESTS; i++)
    {
      send_one ();
      run_for (15);
    }
  for (guint i = 0; i < 100 && soak_traffic_pending (soak.traffic) > 0; i++)
    run_for (50);
  return counts->served - before;
}

/* Starts the store, the servers and INSTANCES instances. Returns FALSE if the
   store does not work.  */
static gboolean
start_all (guint32 seed, guint instances)
{
  const char *argv[]
      = { "emulator/standin/standin_platform", "--history", "/dev/null", NULL };
  soak.rand = g_rand_new_with_seed (seed);
  soak.schedule = g_string_new (NULL);
  soak.started_at = g_get_monotonic_time ();
  soak.harness = harness_new ();
  soak.n_instances = instances;
  soak.traffic = soak_traffic_new (seed + 1);
  soak.store = harness_start (soak.harness, "store", argv);
  if (soak.store == NULL || !harness_wait_ready (soak.store))
    return FALSE;
  for (guint i = 0; i < KEYS; i++)
    soak.key_valid[i] = TRUE;
  if (!put_config (TRUE))
    return FALSE;
  for (guint i = 0; i < SOAK_SERVERS; i++)
    {
      char *target = g_strdup_printf ("127.0.0.1:%u",
                                      soak_traffic_port (soak.traffic, i));
      soak.server_proxies[i] = fault_proxy_new (target);
      g_free (target);
      if (!put_server (i, FALSE, TRUE))
        return FALSE;
    }
  guint client_port = (guint)harness_free_port ();
  guint ready_port = (guint)harness_free_port ();
  guint peer_port = (guint)harness_free_port ();
  for (guint i = 0; i < instances; i++)
    make_instance (i, client_port, ready_port, peer_port);
  run_for (STARTUP_MS / 4);
  return TRUE;
}

static void
stop_all (void)
{
  for (guint i = 0; i < soak.n_instances; i++)
    {
      fault_proxy_free (soak.instances[i].store_proxy);
      g_free (soak.instances[i].settings);
    }
  for (guint i = 0; i < SOAK_SERVERS; i++)
    fault_proxy_free (soak.server_proxies[i]);
  soak_traffic_free (soak.traffic);
  harness_free (soak.harness);
  g_string_free (soak.schedule, TRUE);
  g_rand_free (soak.rand);
}

/* Runs one seed. Returns whether all guarantees were kept and the service
   recovered.  */
static gboolean
run_seed (guint32 seed, guint instances, guint seconds)
{
  if (!start_all (seed, instances))
    {
      g_print ("seed %u: the stand-in store did not start\n", seed);
      return FALSE;
    }
  inject_faults (seconds);
  guint probes_served = end_faults_and_probe ();
  const struct soak_counts *counts = soak_traffic_counts (soak.traffic);
  gboolean recovered = probes_served * 10 >= PROBE_REQUESTS * 8;
  gboolean ok = counts->violations == 0 && recovered && counts->served > 0;
  g_print ("seed %u: %s; sent %u, served %u, rejected %u, unknown %u, denied "
           "%u; of %d probes served %u\n",
           seed, ok ? "ok" : "FAILED", counts->sent, counts->served,
           counts->rejected, counts->unknown, counts->denied, PROBE_REQUESTS,
           probes_served);
  if (!ok)
    g_print ("%srepeat with: soak --seed %u --gates %u --seconds %u\n%s",
             counts->report->str, seed, instances, seconds, soak.schedule->str);
  stop_all ();
  return ok;
}

int
main (int argc, char **argv)
{
  gint seed = 1;
  gint seeds = 1;
  gint instances = 5;
  gint seconds = 8;
  const GOptionEntry entries[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "First seed", "N" },
    { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "Number of seeds", "N" },
    { "gates", 0, 0, G_OPTION_ARG_INT, &instances, "Number of instances", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
      "Duration of the faults of each seed", "N" },
    { "verbose", 0, 0, G_OPTION_ARG_NONE, &soak.verbose, "Print the schedule",
      NULL },
    { NULL },
  };
  GError *error = NULL;
  GOptionContext *context
      = g_option_context_new ("- randomized fault soak of the reverse proxy");
  g_option_context_add_main_entries (context, entries, NULL);
  gboolean ok = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!ok || instances < 2 || instances > INSTANCES_MAX || seconds < 1
      || seeds < 1)
    {
      g_printerr ("soak: %s\n", error ? error->message : "out of range");
      g_clear_error (&error);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  guint passed = 0;
  for (gint i = 0; i < seeds; i++)
    passed += run_seed ((guint32)(seed + i), (guint)instances, (guint)seconds);
  g_print ("unit: %u passed, %u failed\n", passed, (guint)seeds - passed);
  return passed == (guint)seeds ? EXIT_SUCCESS : EXIT_FAILURE;
}
