/* Randomized soak: the real gates and a stand-in store as processes of their
   own, faults from outside them by signals and proxies, promises checked from
   what callers and backend servers see. A seed repeats the schedule.  */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "harness/harness.h"
#include "soak/sok_config.h"
#include "soak/sok_proxy.h"
#include "soak/sok_work.h"

#define GATES_MAX 40
#define KEY_LIMIT_MS 2500
#define SEND_EVERY_MS 8
#define FAULT_MIN_MS 150
#define FAULT_MAX_MS 700
#define HEAL_MIN_MS 300
#define HEAL_MAX_MS 2000
#define STARTUP_MS 6000
#define RECOVERY_MS 5000 /* after all faults have ended */
#define LAST_REQUESTS 60 /* of these nearly all must be served then */
#define KEYS 3

struct gate
{
  struct harness_process *proc;
  struct sok_proxy *store; /* its way to the store */
  char *settings;
  char address[32]; /* callers */
  guint starts;
  gboolean stopped; /* by SIGSTOP */
};

static struct
{
  struct harness *harness;
  struct harness_process *store;
  struct sok_work *work;
  struct sok_proxy *servers[SOK_SERVERS]; /* the way to each */
  struct gate gates[GATES_MAX];
  guint n_gates;
  GRand *rand;
  GString *schedule;
  gint64 start;
  guint64 version;
  gboolean keys[KEYS]; /* which are in force */
  gboolean down[SOK_SERVERS];
  gboolean store_paused;
  gboolean verbose;
} soak;

/* X (NAME): what the schedule does to the system */
#define ACTIONS(X)                                                             \
  X (PAUSE_GATE)                                                               \
  X (KILL_GATE)                                                                \
  X (STOP_GATE)                                                                \
  X (PAUSE_STORE)                                                              \
  X (STORE_FAULT)                                                              \
  X (SERVER_FAULT)                                                             \
  X (RESET_SERVER)                                                             \
  X (CRASH_SERVER)                                                             \
  X (LEAVE)                                                                    \
  X (TAKE_KEY)

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

static void note (const char *format, ...) G_GNUC_PRINTF (1, 2);

static void
note (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_string_append_printf (soak.schedule, "%7.3f %s\n",
                          (double)(g_get_monotonic_time () - soak.start) / 1e6,
                          text);
  if (soak.verbose)
    g_print ("%s\n", text);
  g_free (text);
}

static guint
pick (guint n)
{
  return (guint)g_rand_int_range (soak.rand, 0, (gint)n);
}

static guint
pick_ms (guint min, guint max)
{
  return min + pick (max - min);
}

static gboolean
put (const char *name, const char *body, gboolean create)
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

/* Writes a configuration with the keys in force. It is acknowledged when this
   returns.  */
static gboolean
put_config (gboolean create)
{
  char *text = sok_config_text (++soak.version, soak.keys, KEYS);
  gboolean ok = put ("config/main", text, create);
  g_free (text);
  return ok;
}

static gboolean
put_server (guint i, gboolean leaving, gboolean create)
{
  char *name = g_strdup_printf ("servers/i-%u", i);
  char *body
      = sok_server_text (sok_proxy_port (soak.servers[i]), i % 2, leaving);
  gboolean ok = put (name, body, create);
  g_free (name);
  g_free (body);
  return ok;
}

static void
start_gate (struct gate *gate)
{
  char *name = g_strdup_printf ("gate-%u-%u", (guint)(gate - soak.gates),
                                gate->starts++);
  const char *argv[] = { "packages/jacinthward/jacinthward", "--settings",
                         gate->settings, NULL };
  gate->proc = harness_start (soak.harness, name, argv);
  g_free (name);
}

static void
make_gate (guint i, guint callers, guint ready, guint peers)
{
  struct gate *gate = &soak.gates[i];
  char *target = g_strdup_printf ("127.0.0.1:%d", soak.store->port);
  gate->store = sok_proxy_new (target);
  g_free (target);
  g_snprintf (gate->address, sizeof gate->address, "127.0.0.%u:%u", 10 + i,
              callers);
  char *text = g_strdup_printf (
      "[instance]\nid=gate-%u\ndomain=d%u\nregion=r\ncharts=" JW_SOURCE_DIR
      "/charts\n[gate]\ncallers=%s\nready=127.0.0.%u:%u\nkey_limit_ms=%d\n"
      "grace_ms=3000\nretry_ratio=0.2\nretry_slack=50\n"
      "[peers]\nlisten=127.0.0.%u:%u\nseeds=127.0.0.10;127.0.0.11;\n"
      "[store]\naddress=127.0.0.1:%u\n[domains]\nd0=r\nd1=r\n",
      i, i % 2, gate->address, 10 + i, ready, KEY_LIMIT_MS, 10 + i, peers,
      sok_proxy_port (gate->store));
  gate->settings
      = g_strdup_printf ("%s/gate-%u.ini", harness_dir (soak.harness), i);
  g_assert (g_file_set_contents (gate->settings, text, -1, NULL));
  g_free (text);
  start_gate (gate);
}

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
  g_snprintf (key, sizeof key, "k%u", pick (KEYS));
  sok_work_send (soak.work, soak.gates[pick (soak.n_gates)].address,
                 (enum sok_route)pick (SOK_ROUTE_N), key);
}

static gboolean
on_send (gpointer data)
{
  (void)data;
  send_one ();
  return G_SOURCE_CONTINUE;
}

static void
give_key (guint which)
{
  char key[8];
  g_snprintf (key, sizeof key, "k%u", which);
  /* From here on requests with it may be right again. */
  sok_work_revoked (soak.work, key, G_MAXINT64);
  soak.keys[which] = TRUE;
  g_assert (put_config (FALSE));
}

/* The end of a fault; faults overlap, and the last word counts.  */
struct heal
{
  enum action action;
  guint which;
};

/* Operator's writes block this process, so they wait for the store.  */
static gboolean
needs_store (enum action action)
{
  return action == LEAVE || action == TAKE_KEY;
}

static gboolean
on_heal (gpointer data)
{
  struct heal *heal = data;
  if (needs_store (heal->action) && soak.store_paused)
    return G_SOURCE_CONTINUE;
  struct gate *gate = &soak.gates[heal->which];
  switch (heal->action)
    {
    case PAUSE_GATE:
      harness_signal (gate->proc, SIGCONT);
      gate->stopped = FALSE;
      break;
    case KILL_GATE:
    case STOP_GATE:
      if (harness_reap (gate->proc, 0) >= 0)
        start_gate (gate);
      break;
    case PAUSE_STORE:
      harness_signal (soak.store, SIGCONT);
      soak.store_paused = FALSE;
      break;
    case STORE_FAULT:
      sok_proxy_set (gate->store, SOK_NONE);
      break;
    case SERVER_FAULT:
      sok_proxy_set (soak.servers[heal->which], SOK_NONE);
      break;
    case CRASH_SERVER:
      sok_work_crash (soak.work, heal->which, FALSE);
      soak.down[heal->which] = FALSE;
      break;
    case LEAVE:
      put_server (heal->which, FALSE, FALSE);
      break;
    case TAKE_KEY:
      give_key (heal->which);
      break;
    case RESET_SERVER:
    case ACTION_N:
      break;
    }
  note ("end %s %u", action_name (heal->action), heal->which);
  return G_SOURCE_REMOVE;
}

static void
heal_later (enum action action, guint which)
{
  struct heal *heal = g_new (struct heal, 1);
  *heal = (struct heal){ action, which };
  guint ms = pick_ms (HEAL_MIN_MS, HEAL_MAX_MS);
  if (action == TAKE_KEY)
    ms += KEY_LIMIT_MS;
  g_timeout_add_full (G_PRIORITY_DEFAULT, ms, on_heal, heal, g_free);
}

static void
take_key (guint which)
{
  char key[8];
  if (!soak.keys[which])
    return;
  soak.keys[which] = FALSE;
  g_assert (put_config (FALSE));
  g_snprintf (key, sizeof key, "k%u", which);
  sok_work_revoked (soak.work, key,
                    g_get_monotonic_time () + (gint64)KEY_LIMIT_MS * 1000);
}

static void
act (enum action action)
{
  guint gate = pick (soak.n_gates);
  guint server = pick (SOK_SERVERS);
  guint which = gate;
  switch (action)
    {
    case PAUSE_GATE:
      harness_signal (soak.gates[gate].proc, SIGSTOP);
      soak.gates[gate].stopped = TRUE;
      break;
    case KILL_GATE:
      harness_signal (soak.gates[gate].proc, SIGKILL);
      break;
    case STOP_GATE:
      harness_signal (soak.gates[gate].proc, SIGTERM);
      break;
    case PAUSE_STORE:
      harness_signal (soak.store, SIGSTOP);
      soak.store_paused = TRUE;
      break;
    case STORE_FAULT:
      sok_proxy_set (soak.gates[gate].store,
                     (enum sok_fault) (1 + pick (SOK_FAULT_N - 1)));
      break;
    case SERVER_FAULT:
      which = server;
      sok_proxy_set (soak.servers[server],
                     (enum sok_fault) (1 + pick (SOK_FAULT_N - 1)));
      break;
    case RESET_SERVER:
      which = server;
      sok_proxy_reset (soak.servers[server]);
      break;
    case CRASH_SERVER:
      which = server;
      sok_work_crash (soak.work, server, TRUE);
      soak.down[server] = TRUE;
      break;
    case LEAVE:
      which = server;
      put_server (server, TRUE, FALSE);
      break;
    case TAKE_KEY:
      which = pick (KEYS);
      take_key (which);
      break;
    case ACTION_N:
      return;
    }
  note ("begin %s %u", action_name (action), which);
  heal_later (action, which);
}

static void
play (guint seconds)
{
  gint64 end = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  guint sender = g_timeout_add (SEND_EVERY_MS, on_send, NULL);
  while (g_get_monotonic_time () < end)
    {
      enum action action = (enum action)pick (ACTION_N);
      if (!needs_store (action) || !soak.store_paused)
        act (action);
      run_for (pick_ms (FAULT_MIN_MS, FAULT_MAX_MS));
    }
  g_source_remove (sender);
}

/* Ends all faults and sees whether service is back.  */
static guint
recover (void)
{
  run_for (KEY_LIMIT_MS + HEAL_MAX_MS + 200);
  harness_signal (soak.store, SIGCONT);
  soak.store_paused = FALSE;
  for (guint i = 0; i < soak.n_gates; i++)
    {
      struct gate *gate = &soak.gates[i];
      harness_signal (gate->proc, SIGCONT);
      sok_proxy_set (gate->store, SOK_NONE);
    }
  for (guint i = 0; i < SOK_SERVERS; i++)
    {
      sok_proxy_set (soak.servers[i], SOK_NONE);
      sok_work_crash (soak.work, i, FALSE);
      put_server (i, FALSE, FALSE);
    }
  for (guint i = 0; i < KEYS; i++)
    give_key (i);
  run_for (4000); /* a gate that was told to stop takes up to its grace */
  for (guint i = 0; i < soak.n_gates; i++)
    if (harness_reap (soak.gates[i].proc, 0) >= 0)
      start_gate (&soak.gates[i]);
  run_for (RECOVERY_MS);
  struct sok_tally *tally = sok_work_tally (soak.work);
  guint before = tally->served;
  for (guint i = 0; i < LAST_REQUESTS; i++)
    {
      send_one ();
      run_for (15);
    }
  for (guint i = 0; i < 100 && sok_work_pending (soak.work) > 0; i++)
    run_for (50);
  return tally->served - before;
}

static gboolean
start (guint32 seed, guint gates)
{
  const char *argv[]
      = { "emulator/standin/standin_platform", "--history", "/dev/null", NULL };
  soak.rand = g_rand_new_with_seed (seed);
  soak.schedule = g_string_new (NULL);
  soak.start = g_get_monotonic_time ();
  soak.harness = harness_new ();
  soak.n_gates = gates;
  soak.work = sok_work_new (seed + 1);
  soak.store = harness_start (soak.harness, "store", argv);
  if (soak.store == NULL || !harness_wait_ready (soak.store))
    return FALSE;
  for (guint i = 0; i < KEYS; i++)
    soak.keys[i] = TRUE;
  if (!put_config (TRUE))
    return FALSE;
  for (guint i = 0; i < SOK_SERVERS; i++)
    {
      char *target
          = g_strdup_printf ("127.0.0.1:%u", sok_work_port (soak.work, i));
      soak.servers[i] = sok_proxy_new (target);
      g_free (target);
      if (!put_server (i, FALSE, TRUE))
        return FALSE;
    }
  guint callers = (guint)harness_free_port ();
  guint ready = (guint)harness_free_port ();
  guint peers = (guint)harness_free_port ();
  for (guint i = 0; i < gates; i++)
    make_gate (i, callers, ready, peers);
  run_for (STARTUP_MS / 4);
  return TRUE;
}

static void
finish (void)
{
  for (guint i = 0; i < soak.n_gates; i++)
    {
      sok_proxy_free (soak.gates[i].store);
      g_free (soak.gates[i].settings);
    }
  for (guint i = 0; i < SOK_SERVERS; i++)
    sok_proxy_free (soak.servers[i]);
  sok_work_free (soak.work);
  harness_free (soak.harness);
  g_string_free (soak.schedule, TRUE);
  g_rand_free (soak.rand);
}

/* Plays one seed. Returns whether every promise was kept.  */
static gboolean
play_seed (guint32 seed, guint gates, guint seconds)
{
  if (!start (seed, gates))
    {
      g_print ("seed %u: could not start\n", seed);
      return FALSE;
    }
  play (seconds);
  guint last = recover ();
  const struct sok_tally *tally = sok_work_tally (soak.work);
  gboolean back = last * 10 >= LAST_REQUESTS * 8;
  gboolean ok = tally->broken == 0 && back && tally->served > 0;
  g_print ("seed %u: %s; sent %u, served %u, refused %u, unknown %u, denied "
           "%u; of the last %d served %u\n",
           seed, ok ? "kept" : "BROKEN", tally->sent, tally->served,
           tally->refused, tally->unknown, tally->denied, LAST_REQUESTS, last);
  if (!ok)
    g_print ("%sagain: soak --seed %u --gates %u --seconds %u\n%s",
             tally->report->str, seed, gates, seconds, soak.schedule->str);
  finish ();
  return ok;
}

int
main (int argc, char **argv)
{
  gint seed = 1;
  gint seeds = 1;
  gint gates = 5;
  gint seconds = 8;
  const GOptionEntry entries[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "First seed", "N" },
    { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "How many", "N" },
    { "gates", 0, 0, G_OPTION_ARG_INT, &gates, "Instances", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "Of faults a seed", "N" },
    { "verbose", 0, 0, G_OPTION_ARG_NONE, &soak.verbose, "Print the schedule",
      NULL },
    { NULL },
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("- soak the gate");
  g_option_context_add_main_entries (context, entries, NULL);
  gboolean ok = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!ok || gates < 2 || gates > GATES_MAX || seconds < 1 || seeds < 1)
    {
      g_printerr ("soak: %s\n", error ? error->message : "out of range");
      g_clear_error (&error);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  guint kept = 0;
  for (gint i = 0; i < seeds; i++)
    kept += play_seed ((guint32)(seed + i), (guint)gates, (guint)seconds);
  g_print ("unit: %u passed, %u failed\n", kept, (guint)seeds - kept);
  return kept == (guint)seeds ? EXIT_SUCCESS : EXIT_FAILURE;
}
