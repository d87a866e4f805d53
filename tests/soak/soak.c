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
#include "soak/soak_instance.h"
#include "soak/soak_traffic.h"

#define SEND_INTERVAL_MS 8 /* between requests of the simulated clients */
/* Time between the starts of two faults.  */
#define FAULT_INTERVAL_MIN_MS 150
#define FAULT_INTERVAL_MAX_MS 700
/* Duration of a fault; faults overlap.  */
#define FAULT_DURATION_MIN_MS 300
#define FAULT_DURATION_MAX_MS 2000
/* A server that says that it is leaving ends that much later than its drain
   time at the least.  */
#define LEAVE_EXTRA_MS 1500
#define BACKOFF_MIN_MS 200 /* Retry-After */
#define BACKOFF_MAX_MS 20000
#define STARTUP_MS 6000 /* a quarter of it passes before the first fault */
/* Between two steps of a series of restarts, configuration changes and the
   like.  */
#define SERIES_GAP_MIN_MS 50
#define SERIES_GAP_MAX_MS 600
#define SERIES_STEPS_MAX 4
/* Between a first and a second SIGTERM.  */
#define STOP_AGAIN_MAX_MS 4000
/* Time-outs of the routes, longer than what a slow client needs.  */
#define ROUTE_TIMEOUT_MIN_MS 4000
#define ROUTE_TIMEOUT_MAX_MS 7000
#define SUPERVISE_INTERVAL_MS 20
#define STOP_WAIT_STEPS 750  /* of 20 ms: longer than a stop and a restart */
#define RECOVERY_MS 5000     /* between the end of all faults and the probe */
#define PROBE_REQUESTS 60    /* four of five must be served */
#define PROBE_WAIT_STEPS 130 /* of 50 ms: more than a client's time-out */
#define KEYS 3

static struct
{
  struct harness *harness;
  struct harness_process *store;
  struct soak_traffic *traffic;
  /* Between the instances and each server.  */
  struct fault_proxy *server_proxies[SOAK_SERVERS];
  struct soak_instance *instances[SOAK_INSTANCES_MAX];
  guint n_instances;
  GRand *rand;              /* for the schedule */
  GRand *send_rand;         /* for the requests and for restarts */
  GString *schedule;        /* log of faults, with their times */
  gint64 started_at;        /* monotonic microseconds */
  guint64 config_version;   /* newest one */
  gboolean key_valid[KEYS]; /* in the configuration */
  gboolean server_down[SOAK_SERVERS];
  gboolean store_paused;
  gboolean store_ended;
  guint timeout_ms;    /* of the routes, in the newest configuration */
  guint pending_steps; /* scheduled ones */
  guint supervisor;    /* GLib source */
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
  X (SERVER_LEAVES)    /* says so in its responses */                          \
  X (SERVER_BACKS_OFF) /* 503 with Retry-After */                              \
  X (LEAVE_SERIES)                                                             \
  X (BACKOFF_SERIES)                                                           \
  X (REVOKE_KEY)                                                               \
  X (RELOAD_INSTANCE) /* SIGHUP */                                             \
  X (CHANGE_CONFIG)   /* the time-outs */                                      \
  X (RELOAD_SERIES)                                                            \
  X (STOP_TWICE)                                                               \
  X (STOP_SERIES)                                                              \
  X (CHANGE_AND_STOP)

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

static const char *const excuse_names[] = {
#define EXCUSE_NAME(id, name) name,
  SOAK_EXCUSES (EXCUSE_NAME)
#undef EXCUSE_NAME
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
   present version. Records a violation unless the store acknowledges it.  */
static void
put_object (const char *name, const char *body, gboolean create)
{
  char *path = g_strdup_printf ("/objects/%s", name);
  struct harness_request call = { .port = soak.store->port, .path = path };
  struct harness_response *before = create ? NULL : harness_request (&call);
  const char *etag
      = before ? g_hash_table_lookup (before->headers, "etag") : NULL;
  const char *headers[]
      = { create ? "If-None-Match" : "If-Match", etag ? etag : "*", NULL };
  call.method = "PUT";
  call.headers = headers;
  call.body = body;
  struct harness_response *reply = harness_request (&call);
  if (reply->status != 200)
    {
      char *text = g_strdup_printf (
          "the store did not acknowledge %s: status %u, its read %u", name,
          reply->status, before ? before->status : 0);
      soak_traffic_violation (soak.traffic, text);
      g_free (text);
    }
  harness_response_free (reply);
  if (before != NULL)
    harness_response_free (before);
  g_free (path);
}

/* Writes a configuration with the keys that are valid now.  */
static void
put_config (gboolean create)
{
  char *text = soak_config_text (++soak.config_version, soak.key_valid, KEYS,
                                 soak.timeout_ms);
  soak_traffic_set_timeout (soak.traffic, soak.timeout_ms);
  put_object ("config/main", text, create);
  g_free (text);
}

/* An entry that is not leaving begins a new life of the server.  */
static void
put_server (guint i, gboolean leaving, gboolean create)
{
  char *name = g_strdup_printf ("servers/i-%u", i);
  char *body = soak_server_text (fault_proxy_port (soak.server_proxies[i]),
                                 i % 2, leaving);
  put_object (name, body, create);
  if (!leaving)
    server_hints_restart (soak_traffic_hints (soak.traffic, i));
  g_free (name);
  g_free (body);
}

static gboolean
on_supervise (gpointer data)
{
  (void)data;
  for (guint i = 0; i < soak.n_instances; i++)
    if (soak_instance_supervise (soak.instances[i]))
      record_step ("started %u", i);
  if (harness_pid (soak.store) != 0 || soak.store_ended)
    return G_SOURCE_CONTINUE;
  soak.store_ended = TRUE;
  char *text = g_strdup_printf ("the store ended with status %d",
                                harness_reap (soak.store, 0));
  soak_traffic_violation (soak.traffic, text);
  record_step ("%s", text);
  g_free (text);
  return G_SOURCE_CONTINUE;
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

/* Sends a random request to instance WHICH. Returns FALSE if that refuses
   connections.  */
static gboolean
send_to (guint which)
{
  char key[8];
  g_snprintf (key, sizeof key, "k%d",
              g_rand_int_range (soak.send_rand, 0, KEYS));
  return soak_traffic_send (
      soak.traffic, which,
      (enum soak_route)g_rand_int_range (soak.send_rand, 0, SOAK_ROUTE_N), key);
}

static guint
random_instance (void)
{
  return (guint)g_rand_int_range (soak.send_rand, 0, (gint)soak.n_instances);
}

/* Sends a request to a random instance or, if that refuses connections, to the
   next one that does not.  */
static void
send_one (void)
{
  guint first = random_instance ();
  for (guint i = 0; i < soak.n_instances; i++)
    if (send_to ((first + i) % soak.n_instances))
      return;
  soak_traffic_counts (soak.traffic)->refused++;
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
  put_config (FALSE);
}

/* A scheduled action, or the end of a fault. Faults of the same target may
   overlap: the latest start or end takes effect.  */
struct step
{
  enum action action;
  guint which;
  gboolean is_end;
};

/* Writes to the store block this process, so they are put off while the store
   is paused.  */
static gboolean
writes_to_store (enum action action, gboolean is_end)
{
  return action == DRAIN_SERVER || (action == SERVER_LEAVES && is_end)
         || action == REVOKE_KEY || action == CHANGE_CONFIG
         || action == CHANGE_AND_STOP;
}

static void begin_action (enum action action, guint which);

static void
end_fault (enum action action, guint which)
{
  struct soak_instance *instance = soak.instances[which];
  switch (action)
    {
    case PAUSE_INSTANCE:
      soak_instance_signal (instance, SIGCONT);
      break;
    case PAUSE_STORE:
      harness_signal (soak.store, SIGCONT);
      soak.store_paused = FALSE;
      break;
    case STORE_FAULT:
      fault_proxy_set_mode (soak_instance_store_proxy (instance),
                            FAULT_PROXY_NONE);
      break;
    case SERVER_FAULT:
      fault_proxy_set_mode (soak.server_proxies[which], FAULT_PROXY_NONE);
      soak_traffic_server_fault (soak.traffic, which, SOAK_SERVER_UNREACHABLE,
                                 FALSE);
      break;
    case CRASH_SERVER:
      soak_traffic_set_down (soak.traffic, which, FALSE);
      soak.server_down[which] = FALSE;
      break;
    case DRAIN_SERVER:
    case SERVER_LEAVES:
      put_server (which, FALSE, FALSE);
      break;
    case SERVER_BACKS_OFF:
      server_hints_set_backoff (soak_traffic_hints (soak.traffic, which), 0);
      break;
    case REVOKE_KEY:
      restore_key (which);
      break;
    default:
      break;
    }
  record_step ("end %s %u", action_name (action), which);
}

static gboolean
on_step (gpointer data)
{
  const struct step *step = data;
  if (writes_to_store (step->action, step->is_end) && soak.store_paused)
    return G_SOURCE_CONTINUE;
  if (step->is_end)
    end_fault (step->action, step->which);
  else
    begin_action (step->action, step->which);
  return G_SOURCE_REMOVE;
}

static void
step_free (gpointer data)
{
  soak.pending_steps--;
  g_free (data);
}

static void
schedule (struct step step, guint ms)
{
  soak.pending_steps++;
  g_timeout_add_full (G_PRIORITY_DEFAULT, ms, on_step,
                      g_memdup2 (&step, sizeof step), step_free);
}

/* Returns how many targets ACTION has.  */
static guint
targets_of (enum action action)
{
  switch (action)
    {
    case SERVER_FAULT:
    case RESET_SERVER:
    case CRASH_SERVER:
    case DRAIN_SERVER:
    case SERVER_LEAVES:
    case SERVER_BACKS_OFF:
    case LEAVE_SERIES:
    case BACKOFF_SERIES:
      return SOAK_SERVERS;
    case REVOKE_KEY:
      return KEYS;
    default:
      return soak.n_instances;
    }
}

/* Schedules ACTION for several of its targets one after the other, from number
   FIRST on.  */
static void
schedule_series (enum action action, guint first)
{
  guint n = 2 + random_below (SERIES_STEPS_MAX - 1);
  guint ms = 0;
  for (guint i = 0; i < n; i++)
    {
      ms += random_ms (SERIES_GAP_MIN_MS, SERIES_GAP_MAX_MS);
      schedule (
          (struct step){ action, (first + i) % targets_of (action), FALSE },
          ms);
    }
}

/* Removes a key from the configuration, and lets the servers report requests
   that use it once SOAK_KEY_LIMIT_MS has passed.  */
static void
revoke_key (guint which)
{
  char key[8];
  if (!soak.key_valid[which])
    return;
  soak.key_valid[which] = FALSE;
  put_config (FALSE);
  g_snprintf (key, sizeof key, "k%u", which);
  soak_traffic_revoke_key (soak.traffic, key,
                           g_get_monotonic_time ()
                               + (gint64)SOAK_KEY_LIMIT_MS * 1000);
}

static void
change_timeouts (void)
{
  soak.timeout_ms = random_ms (ROUTE_TIMEOUT_MIN_MS, ROUTE_TIMEOUT_MAX_MS);
  put_config (FALSE);
}

/* Sets a fault of the network before server WHICH. A delay alone is no excuse
   for a missing response.  */
static void
begin_server_fault (guint which)
{
  enum fault_proxy_mode mode
      = (enum fault_proxy_mode) (1 + random_below (FAULT_PROXY_MODE_N - 1));
  soak_traffic_server_fault (soak.traffic, which, SOAK_SERVER_UNREACHABLE,
                             mode != FAULT_PROXY_DELAY);
  fault_proxy_set_mode (soak.server_proxies[which], mode);
}

/* Returns a random Retry-After; most are short.  */
static guint
random_backoff_ms (void)
{
  double share = g_rand_double (soak.rand);
  return BACKOFF_MIN_MS
         + (guint)((BACKOFF_MAX_MS - BACKOFF_MIN_MS) * share * share * share);
}

/* Carries out ACTION on its target WHICH. Returns whether it is a fault that
   has to be ended.  */
static gboolean
carry_out (enum action action, guint which)
{
  struct soak_instance *instance = soak.instances[which];
  switch (action)
    {
    case PAUSE_INSTANCE:
      soak_instance_signal (instance, SIGSTOP);
      return TRUE;
    case KILL_INSTANCE:
      soak_instance_signal (instance, SIGKILL);
      return FALSE;
    case STOP_INSTANCE:
      soak_instance_signal (instance, SIGTERM);
      return FALSE;
    case PAUSE_STORE:
      harness_signal (soak.store, SIGSTOP);
      soak.store_paused = TRUE;
      return TRUE;
    case STORE_FAULT:
      fault_proxy_set_mode (
          soak_instance_store_proxy (instance),
          (enum fault_proxy_mode) (1 + random_below (FAULT_PROXY_MODE_N - 1)));
      return TRUE;
    case SERVER_FAULT:
      begin_server_fault (which);
      return TRUE;
    case RESET_SERVER:
      soak_traffic_server_fault (soak.traffic, which, SOAK_SERVER_UNREACHABLE,
                                 FALSE);
      fault_proxy_reset (soak.server_proxies[which]);
      return FALSE;
    case CRASH_SERVER:
      soak_traffic_set_down (soak.traffic, which, TRUE);
      soak.server_down[which] = TRUE;
      return TRUE;
    case DRAIN_SERVER:
      put_server (which, TRUE, FALSE);
      return TRUE;
    case SERVER_LEAVES:
      server_hints_set_leaving (soak_traffic_hints (soak.traffic, which), TRUE);
      return TRUE;
    case SERVER_BACKS_OFF:
      server_hints_set_backoff (soak_traffic_hints (soak.traffic, which),
                                random_backoff_ms ());
      return TRUE;
    case LEAVE_SERIES:
      schedule_series (SERVER_LEAVES, which);
      return FALSE;
    case BACKOFF_SERIES:
      schedule_series (SERVER_BACKS_OFF, which);
      return FALSE;
    case REVOKE_KEY:
      revoke_key (which);
      return TRUE;
    case RELOAD_INSTANCE:
      soak_instance_signal (instance, SIGHUP);
      return FALSE;
    case CHANGE_CONFIG:
      change_timeouts ();
      return FALSE;
    case RELOAD_SERIES:
      schedule_series (RELOAD_INSTANCE, which);
      return FALSE;
    case STOP_TWICE:
      soak_instance_signal (instance, SIGTERM);
      schedule ((struct step){ STOP_INSTANCE, which, FALSE },
                random_ms (SERIES_GAP_MIN_MS, STOP_AGAIN_MAX_MS));
      return FALSE;
    case STOP_SERIES:
      schedule_series (random_below (4) == 0 ? STOP_TWICE : STOP_INSTANCE,
                       which);
      return FALSE;
    case CHANGE_AND_STOP:
      change_timeouts ();
      soak_instance_signal (instance, SIGTERM);
      return FALSE;
    case ACTION_N:
      break;
    }
  return FALSE;
}

/* Starts ACTION with its target WHICH. If it is a fault, schedules its end.  */
static void
begin_action (enum action action, guint which)
{
  record_step ("begin %s %u", action_name (action), which);
  if (!carry_out (action, which))
    return;
  guint ms = random_ms (FAULT_DURATION_MIN_MS, FAULT_DURATION_MAX_MS);
  if (action == REVOKE_KEY)
    ms += SOAK_KEY_LIMIT_MS;
  if (action == SERVER_LEAVES)
    ms += SOAK_DRAIN_MS + LEAVE_EXTRA_MS;
  schedule ((struct step){ action, which, TRUE }, ms);
}

/* Sends requests and starts random actions for SECONDS, and until those that
   they have scheduled are over.  */
static void
inject_faults (guint seconds)
{
  gint64 end = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  guint sender = g_timeout_add (SEND_INTERVAL_MS, on_send, NULL);
  while (g_get_monotonic_time () < end)
    {
      enum action action = (enum action)random_below (ACTION_N);
      guint which = random_below (targets_of (action));
      if (!writes_to_store (action, FALSE) || !soak.store_paused)
        begin_action (action, which);
      run_for (random_ms (FAULT_INTERVAL_MIN_MS, FAULT_INTERVAL_MAX_MS));
    }
  while (soak.pending_steps > 0)
    run_for (SUPERVISE_INTERVAL_MS);
  g_source_remove (sender);
}

static gboolean
all_run (void)
{
  for (guint i = 0; i < soak.n_instances; i++)
    if (!soak_instance_is_running (soak.instances[i]))
      return FALSE;
  return TRUE;
}

static void
wait_for_responses (void)
{
  for (guint i = 0;
       i < PROBE_WAIT_STEPS && soak_traffic_pending (soak.traffic) > 0; i++)
    run_for (50);
}

/* Ends all faults, waits for recovery and sends PROBE_REQUESTS. Returns how
   many of them were served.  */
static guint
end_faults_and_probe (void)
{
  harness_signal (soak.store, SIGCONT);
  soak.store_paused = FALSE;
  for (guint i = 0; i < soak.n_instances; i++)
    {
      struct soak_instance *instance = soak.instances[i];
      soak_instance_signal (instance, SIGCONT);
      fault_proxy_set_mode (soak_instance_store_proxy (instance),
                            FAULT_PROXY_NONE);
    }
  for (guint i = 0; i < SOAK_SERVERS; i++)
    {
      fault_proxy_set_mode (soak.server_proxies[i], FAULT_PROXY_NONE);
      soak_traffic_set_down (soak.traffic, i, FALSE);
      put_server (i, FALSE, FALSE);
    }
  for (guint i = 0; i < KEYS; i++)
    restore_key (i);
  for (guint i = 0; i < STOP_WAIT_STEPS && !all_run (); i++)
    run_for (SUPERVISE_INTERVAL_MS);
  run_for (RECOVERY_MS);
  wait_for_responses ();
  struct soak_counts *counts = soak_traffic_counts (soak.traffic);
  guint before = counts->served;
  for (guint i = 0; i < PROBE_REQUESTS; i++)
    {
      send_to (random_instance ());
      run_for (15);
    }
  wait_for_responses ();
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
  soak.send_rand = g_rand_new_with_seed (seed + 2);
  soak.schedule = g_string_new (NULL);
  soak.started_at = g_get_monotonic_time ();
  soak.harness = harness_new ();
  soak.n_instances = instances;
  soak.store_ended = FALSE;
  soak.traffic = soak_traffic_new (seed + 1);
  soak.store = harness_start (soak.harness, "store", argv);
  if (soak.store == NULL || !harness_wait_ready (soak.store))
    return FALSE;
  for (guint i = 0; i < KEYS; i++)
    soak.key_valid[i] = TRUE;
  soak.timeout_ms = ROUTE_TIMEOUT_MAX_MS;
  put_config (TRUE);
  for (guint i = 0; i < SOAK_SERVERS; i++)
    {
      char *target = g_strdup_printf ("127.0.0.1:%u",
                                      soak_traffic_port (soak.traffic, i));
      soak.server_proxies[i] = fault_proxy_new (target);
      g_free (target);
      put_server (i, FALSE, TRUE);
    }
  struct soak_instance_options options
      = { .harness = soak.harness,
          .traffic = soak.traffic,
          .rand = soak.send_rand,
          .store_port = (guint)soak.store->port,
          .client_port = (guint)harness_free_port (),
          .ready_port = (guint)harness_free_port (),
          .peer_port = (guint)harness_free_port () };
  for (guint i = 0; i < instances; i++)
    {
      options.number = i;
      soak.instances[i] = soak_instance_new (&options);
    }
  soak.supervisor = g_timeout_add (SUPERVISE_INTERVAL_MS, on_supervise, NULL);
  run_for (STARTUP_MS / 4);
  return TRUE;
}

static void
stop_all (void)
{
  g_source_remove (soak.supervisor);
  for (guint i = 0; i < soak.n_instances; i++)
    soak_instance_free (soak.instances[i]);
  for (guint i = 0; i < SOAK_SERVERS; i++)
    fault_proxy_free (soak.server_proxies[i]);
  soak_traffic_free (soak.traffic);
  harness_free (soak.harness);
  g_string_free (soak.schedule, TRUE);
  g_rand_free (soak.rand);
  g_rand_free (soak.send_rand);
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
  g_print ("seed %u: %s; sent %u (%u on open connections), served %u, "
           "rejected %u, unknown %u, denied %u, refused %u; of %d probes "
           "served %u; connections cut:",
           seed, ok ? "ok" : "FAILED", counts->sent, counts->reused,
           counts->served, counts->rejected, counts->unknown, counts->denied,
           counts->refused, PROBE_REQUESTS, probes_served);
  for (guint i = 0; i < SOAK_EXCUSE_N; i++)
    g_print ("%s %u %s", i > 0 ? "," : "", counts->cut[i], excuse_names[i]);
  g_print (
      "; Retry-After sent %u, %u requests meanwhile; leaving passed on %u, "
      "%u requests after that\n",
      counts->hints.backoffs, counts->hints.in_backoff, counts->hints.passed_on,
      counts->hints.after_leave);
  if (!ok)
    harness_explain (soak.harness);
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
  if (!ok || instances < 2 || instances > SOAK_INSTANCES_MAX || seconds < 1
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
