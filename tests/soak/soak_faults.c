/* The random faults and the actions of an operator that a run consists of.  */
#include <signal.h>

#include "soak/soak_internal.h"

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
/* Between two steps of a series of restarts, configuration changes and the
   like.  */
#define SERIES_GAP_MIN_MS 50
#define SERIES_GAP_MAX_MS 600
#define SERIES_STEPS_MAX 4
/* Between a first and a second SIGTERM.  */
#define STOP_AGAIN_MAX_MS 4000
/* Time between two servers that begin to break off streams, and how long one
   does so.  */
#define BREAK_INTERVAL_MIN_MS 250
#define BREAK_INTERVAL_MAX_MS 800
#define BREAK_DURATION_MIN_MS 500
#define BREAK_DURATION_MAX_MS 2000
/* Time-outs of the routes, longer than what a slow client needs.  */
#define ROUTE_TIMEOUT_MIN_MS 4000

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

static const char *
action_name (enum action action)
{
  return action < ACTION_N ? action_names[action] : "?";
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

static gboolean
on_send (gpointer data)
{
  (void)data;
  soak_send_one ();
  return G_SOURCE_CONTINUE;
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
      soak_put_server (which, FALSE, FALSE);
      break;
    case SERVER_BACKS_OFF:
      server_hints_set_backoff (soak_traffic_hints (soak.traffic, which), 0);
      break;
    case REVOKE_KEY:
      soak_restore_key (which);
      break;
    default:
      break;
    }
  soak_record_step ("end %s %u", action_name (action), which);
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
      return SOAK_KEYS;
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
  soak_put_config (FALSE);
  g_snprintf (key, sizeof key, "k%u", which);
  soak_traffic_revoke_key (soak.traffic, key,
                           g_get_monotonic_time ()
                               + (gint64)SOAK_KEY_LIMIT_MS * 1000);
}

static void
change_timeouts (void)
{
  soak.timeout_ms = random_ms (ROUTE_TIMEOUT_MIN_MS, SOAK_ROUTE_TIMEOUT_MAX_MS);
  soak_put_config (FALSE);
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
      soak_put_server (which, TRUE, FALSE);
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
  soak_record_step ("begin %s %u", action_name (action), which);
  if (!carry_out (action, which))
    return;
  guint ms = random_ms (FAULT_DURATION_MIN_MS, FAULT_DURATION_MAX_MS);
  if (action == REVOKE_KEY)
    ms += SOAK_KEY_LIMIT_MS;
  if (action == SERVER_LEAVES)
    ms += SOAK_DRAIN_MS + LEAVE_EXTRA_MS;
  schedule ((struct step){ action, which, TRUE }, ms);
}

/* Lets a random server break off streams for a random time. Has a source of
   randomness of its own, so that the other faults of a seed stay as they are.
 */
static gboolean
on_break_streams (gpointer data)
{
  guint *timer = data;
  guint which = (guint)g_rand_int_range (soak.stream_rand, 0, SOAK_SERVERS);
  gint ms = g_rand_int_range (soak.stream_rand, BREAK_DURATION_MIN_MS,
                              BREAK_DURATION_MAX_MS);
  soak_record_step ("server %u breaks off streams for %d ms", which, ms);
  soak_traffic_break_streams (soak.traffic, which,
                              g_get_monotonic_time ()
                                  + ms * G_TIME_SPAN_MILLISECOND);
  *timer = g_timeout_add ((guint)g_rand_int_range (soak.stream_rand,
                                                   BREAK_INTERVAL_MIN_MS,
                                                   BREAK_INTERVAL_MAX_MS),
                          on_break_streams, timer);
  return G_SOURCE_REMOVE;
}

void
soak_inject_faults (guint seconds)
{
  guint breaker
      = g_timeout_add (BREAK_INTERVAL_MIN_MS, on_break_streams, &breaker);
  gint64 end = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  guint sender = g_timeout_add (SEND_INTERVAL_MS, on_send, NULL);
  while (g_get_monotonic_time () < end)
    {
      enum action action = (enum action)random_below (ACTION_N);
      guint which = random_below (targets_of (action));
      if (!writes_to_store (action, FALSE) || !soak.store_paused)
        begin_action (action, which);
      soak_run_for (random_ms (FAULT_INTERVAL_MIN_MS, FAULT_INTERVAL_MAX_MS));
    }
  g_source_remove (breaker);
  while (soak.pending_steps > 0)
    soak_run_for (SOAK_SUPERVISE_INTERVAL_MS);
  g_source_remove (sender);
}
