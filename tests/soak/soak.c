/* Randomized fault soak of the reverse proxy. Real instances and the stand-in
   of the platform's store run as processes. Faults are injected from outside,
   by signals and network proxies, and the guarantees are checked from what the
   simulated clients and backend servers observe. A seed determines the schedule
   of faults.  */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "soak/soak_config.h"
#include "soak/soak_internal.h"

#define STARTUP_MS 6000      /* a quarter of it passes before the first fault */
#define STOP_WAIT_STEPS 750  /* of 20 ms: longer than a stop and a restart */
#define RECOVERY_MS 5000     /* between the end of all faults and the probe */
#define PROBE_REQUESTS 60    /* four of five must be served */
#define PROBE_WAIT_STEPS 130 /* of 50 ms: more than a client's time-out */

struct soak soak;

static const char *const excuse_names[] = {
#define EXCUSE_NAME(id, name) name,
  SOAK_EXCUSES (EXCUSE_NAME)
#undef EXCUSE_NAME
};

void
soak_record_step (const char *format, ...)
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

void
soak_put_config (gboolean create)
{
  char *text = soak_config_text (++soak.config_version, soak.key_valid,
                                 SOAK_KEYS, soak.timeout_ms);
  soak_traffic_set_timeout (soak.traffic, soak.timeout_ms);
  put_object ("config/main", text, create);
  g_free (text);
}

void
soak_put_server (guint i, gboolean leaving, gboolean create)
{
  char *name = g_strdup_printf ("servers/i-%u", i);
  char *body = soak_server_text (fault_proxy_port (soak.server_proxies[i]),
                                 i % 2, soak_server_version (i), leaving);
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
      soak_record_step ("started %u", i);
  if (harness_pid (soak.store) != 0 || soak.store_ended)
    return G_SOURCE_CONTINUE;
  soak.store_ended = TRUE;
  char *text = g_strdup_printf ("the store ended with status %d",
                                harness_reap (soak.store, 0));
  soak_traffic_violation (soak.traffic, text);
  soak_record_step ("%s", text);
  g_free (text);
  return G_SOURCE_CONTINUE;
}

void
soak_run_for (guint ms)
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
              g_rand_int_range (soak.send_rand, 0, SOAK_KEYS));
  return soak_traffic_send (
      soak.traffic, which,
      (enum soak_route)g_rand_int_range (soak.send_rand, 0, SOAK_ROUTE_N), key);
}

static guint
random_instance (void)
{
  return (guint)g_rand_int_range (soak.send_rand, 0, (gint)soak.n_instances);
}

void
soak_send_one (void)
{
  guint first = random_instance ();
  for (guint i = 0; i < soak.n_instances; i++)
    if (send_to ((first + i) % soak.n_instances))
      return;
  soak_traffic_counts (soak.traffic)->refused++;
}

void
soak_restore_key (guint which)
{
  char key[8];
  g_snprintf (key, sizeof key, "k%u", which);
  /* From now on requests with the key may run again.  */
  soak_traffic_revoke_key (soak.traffic, key, G_MAXINT64);
  soak.key_valid[which] = TRUE;
  soak_put_config (FALSE);
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
    soak_run_for (50);
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
      soak_put_server (i, FALSE, FALSE);
    }
  for (guint i = 0; i < SOAK_KEYS; i++)
    soak_restore_key (i);
  for (guint i = 0; i < STOP_WAIT_STEPS && !all_run (); i++)
    soak_run_for (SOAK_SUPERVISE_INTERVAL_MS);
  soak_run_for (RECOVERY_MS);
  wait_for_responses ();
  struct soak_counts *counts = soak_traffic_counts (soak.traffic);
  guint before = counts->served;
  for (guint i = 0; i < PROBE_REQUESTS; i++)
    {
      send_to (random_instance ());
      soak_run_for (15);
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
  soak.stream_rand = g_rand_new_with_seed (seed + 3);
  soak.schedule = g_string_new (NULL);
  soak.started_at = g_get_monotonic_time ();
  soak.harness = harness_new ();
  soak.n_instances = instances;
  soak.store_ended = FALSE;
  soak.traffic = soak_traffic_new (seed + 1);
  soak.store = harness_start (soak.harness, "store", argv);
  if (soak.store == NULL || !harness_wait_ready (soak.store))
    return FALSE;
  for (guint i = 0; i < SOAK_KEYS; i++)
    soak.key_valid[i] = TRUE;
  soak.timeout_ms = SOAK_ROUTE_TIMEOUT_MAX_MS;
  soak_put_config (TRUE);
  for (guint i = 0; i < SOAK_SERVERS; i++)
    {
      char *target = g_strdup_printf ("127.0.0.1:%u",
                                      soak_traffic_port (soak.traffic, i));
      soak.server_proxies[i] = fault_proxy_new (target);
      g_free (target);
      soak_put_server (i, FALSE, TRUE);
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
  soak.supervisor
      = g_timeout_add (SOAK_SUPERVISE_INTERVAL_MS, on_supervise, NULL);
  soak_run_for (STARTUP_MS / 4);
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
  g_rand_free (soak.stream_rand);
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
  soak_inject_faults (seconds);
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
      "; streams broken off %u, begun anew %u, resumed %u, finished then %u"
      "; Retry-After sent %u, %u requests meanwhile; leaving passed on %u, "
      "%u requests after that\n",
      counts->broken, counts->begun_anew, counts->resumed, counts->finished,
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
