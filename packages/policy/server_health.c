#include "policy/server_health.h"

/* Peers that are taken into account for a median.  */
#define SERVER_HEALTH_PEERS_MAX 64

/* Weights of a new sample in the averages of tbt and ttft, and of a new result
   in the error rate.  */
#define SERVER_HEALTH_LATENCY_WEIGHT 0.1
#define SERVER_HEALTH_ERROR_WEIGHT 0.2

/* Samples from which an average counts; ttft needs more as it varies more.  */
#define SERVER_HEALTH_SAMPLES_MIN 8
#define SERVER_HEALTH_TTFT_SAMPLES_MIN 24

/* Length of the reference prompt, to which ttft samples are scaled.  */
#define SERVER_HEALTH_REFERENCE_PROMPT_TOKENS 500

/* Samples from which an average other than ttft counts for a server that is not
   SERVER_HEALTH_OK.  */
#define SERVER_HEALTH_PROBE_SAMPLES_MIN 4

/* A server is slow if its tbt or its ttft exceeds the median of its peers by
   the factor. The ttft must also exceed it by a fixed excess, because prompts
   differ.  */
#define SERVER_HEALTH_TBT_FACTOR 2.0
#define SERVER_HEALTH_TTFT_FACTOR 3.0
#define SERVER_HEALTH_TTFT_EXCESS_US 500000.0

/* A server is not taken for slow if its requests in flight exceed the median
   of its peers by this factor.  */
#define SERVER_HEALTH_LOAD_FACTOR 1.5

/* A server is failing if its error rate exceeds the share, or after so many
   consecutive failures, unless its peers fail too; and after so many failures
   to connect in any case.  */
#define SERVER_HEALTH_ERROR_SHARE 0.5
#define SERVER_HEALTH_CONSECUTIVE_FAILURES 3
#define SERVER_HEALTH_CONSECUTIVE_CONNECT_FAILURES 5

/* Successes after which a server is SERVER_HEALTH_OK again.  */
#define SERVER_HEALTH_RECOVERY_SUCCESSES 3

/* At most one in so many servers, but at least one, may be ejected.  */
#define SERVER_HEALTH_EJECT_SHARE 3

/* Duration of the first ejection, doublings of it at most, relative jitter, and
   time in SERVER_HEALTH_OK after which the doublings start anew.  */
#define SERVER_HEALTH_EJECT_US (2 * CLK_S)
#define SERVER_HEALTH_EJECT_DOUBLINGS 5
#define SERVER_HEALTH_EJECT_JITTER 0.2
#define SERVER_HEALTH_BACKOFF_RESET_US (60 * CLK_S)

static const char *const state_names[] = {
#define SERVER_HEALTH_NAME(id, name) name,
  SERVER_HEALTH_STATES (SERVER_HEALTH_NAME)
#undef SERVER_HEALTH_NAME
};

const char *
server_health_state_name (enum server_health_state state)
{
  return state_names[state];
}

void
server_health_init (struct server_health *server_health, gint64 now)
{
  *server_health
      = (struct server_health){ .state = SERVER_HEALTH_OK, .state_since = now };
}

/* Adds a sample with WEIGHT. The first samples count equally.  */
void
server_health_mean_add (struct server_health_mean *mean, double value,
                        double weight)
{
  mean->n++;
  weight = MAX (weight, 1.0 / mean->n);
  mean->value += weight * (value - mean->value);
}

/* Adds a time between tokens, measured with IN_FLIGHT requests in flight.  */
void
server_health_add_tbt (struct server_health *server_health, gint64 tbt_us,
                       guint in_flight)
{
  server_health_mean_add (&server_health->tbt, (double)tbt_us,
                          SERVER_HEALTH_LATENCY_WEIGHT);
  server_health_mean_add (&server_health->in_flight, in_flight,
                          SERVER_HEALTH_LATENCY_WEIGHT);
}

/* Adds the time to first token of one request. It is scaled to the reference
   prompt, so that servers can be compared whose prompts differ in length.  */
void
server_health_add_ttft (struct server_health *server_health, gint64 ttft_us,
                        guint prompt_tokens)
{
  double scale = 2.0 * SERVER_HEALTH_REFERENCE_PROMPT_TOKENS
                 / (SERVER_HEALTH_REFERENCE_PROMPT_TOKENS + prompt_tokens);
  server_health_mean_add (&server_health->ttft, (double)ttft_us * scale,
                          SERVER_HEALTH_LATENCY_WEIGHT);
}

/* Adds the result of one attempt.  */
void
server_health_add_result (struct server_health *server_health,
                          enum server_health_result result)
{
  gboolean failed = result != SERVER_HEALTH_SUCCESS;
  server_health_mean_add (&server_health->error_rate, failed,
                          SERVER_HEALTH_ERROR_WEIGHT);
  server_health->consecutive_failures
      = failed ? server_health->consecutive_failures + 1 : 0;
  server_health->consecutive_connect_failures
      = result == SERVER_HEALTH_UNREACHABLE
            ? server_health->consecutive_connect_failures + 1
            : 0;
  server_health->successes += !failed;
}

static void
reset_samples (struct server_health *server_health)
{
  server_health->tbt = server_health->ttft = server_health->in_flight
      = server_health->error_rate = (struct server_health_mean){ 0 };
  server_health->consecutive_failures
      = server_health->consecutive_connect_failures = server_health->successes
      = 0;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Returns the median of the average at OFFSET over the peers of SELF that are
   not ejected and have MIN samples or more; -1 if there are none.  */
static double
peer_median (struct server_health *const *peers, guint n,
             const struct server_health *self, gsize offset, guint min)
{
  double values[SERVER_HEALTH_PEERS_MAX];
  guint count = 0;
  for (guint i = 0; i < n && count < SERVER_HEALTH_PEERS_MAX; i++)
    {
      const struct server_health_mean *mean
          = (const struct server_health_mean *)((const char *)peers[i]
                                                + offset);
      if (peers[i] != self && peers[i]->state != SERVER_HEALTH_EJECTED
          && mean->n >= min)
        values[count++] = mean->value;
    }
  if (count == 0)
    return -1;
  qsort (values, count, sizeof *values, compare_doubles);
  return count % 2 ? values[count / 2]
                   : (values[count / 2 - 1] + values[count / 2]) / 2;
}

static guint
samples_min (const struct server_health *server_health)
{
  return server_health->state == SERVER_HEALTH_OK
             ? SERVER_HEALTH_SAMPLES_MIN
             : SERVER_HEALTH_PROBE_SAMPLES_MIN;
}

/* Returns whether the average at OFFSET has MIN samples or more and exceeds
   both FACTOR times the median of the peers and that median plus EXCESS.  */
static gboolean
is_beyond (struct server_health *const *peers, guint n,
           const struct server_health *server_health, gsize offset, guint min,
           double factor, double excess)
{
  const struct server_health_mean *mean
      = (const struct server_health_mean *)((const char *)server_health
                                            + offset);
  if (mean->n < min)
    return FALSE;
  double median = peer_median (peers, n, server_health, offset,
                               SERVER_HEALTH_SAMPLES_MIN);
  return median > 0 && mean->value > factor * median
         && mean->value > median + excess;
}

/* Returns whether a server is slow for its load. One with more requests in
   flight than its peers may be slower than they are.  */
static gboolean
is_slow (struct server_health *const *peers, guint n,
         const struct server_health *server_health)
{
  const gsize in_flight = G_STRUCT_OFFSET (struct server_health, in_flight);
  const gsize tbt = G_STRUCT_OFFSET (struct server_health, tbt);
  const gsize ttft = G_STRUCT_OFFSET (struct server_health, ttft);
  guint min = samples_min (server_health);
  if (is_beyond (peers, n, server_health, in_flight, 1,
                 SERVER_HEALTH_LOAD_FACTOR, 0))
    return FALSE;
  return is_beyond (peers, n, server_health, tbt, min, SERVER_HEALTH_TBT_FACTOR,
                    0)
         || is_beyond (peers, n, server_health, ttft,
                       SERVER_HEALTH_TTFT_SAMPLES_MIN,
                       SERVER_HEALTH_TTFT_FACTOR, SERVER_HEALTH_TTFT_EXCESS_US);
}

/* Returns whether a server fails while its peers do not. Failures to connect
   count regardless of the peers.  */
static gboolean
is_failing (struct server_health *const *peers, guint n,
            const struct server_health *server_health)
{
  if (server_health->consecutive_connect_failures
      >= SERVER_HEALTH_CONSECUTIVE_CONNECT_FAILURES)
    return TRUE;
  double others
      = peer_median (peers, n, server_health,
                     G_STRUCT_OFFSET (struct server_health, error_rate), 1);
  if (others < 0 || others >= SERVER_HEALTH_ERROR_SHARE / 2)
    return FALSE;
  return server_health->consecutive_failures
             >= SERVER_HEALTH_CONSECUTIVE_FAILURES
         || (server_health->error_rate.n >= samples_min (server_health)
             && server_health->error_rate.value > SERVER_HEALTH_ERROR_SHARE);
}

/* Returns whether a server is stalled while at least one peer is not.  */
static gboolean
is_stalled (struct server_health *const *peers, guint n,
            const struct server_health *server_health)
{
  if (!server_health->stalled)
    return FALSE;
  for (guint i = 0; i < n; i++)
    if (peers[i] != server_health && peers[i]->state == SERVER_HEALTH_OK
        && !peers[i]->stalled && peers[i]->tbt.n >= SERVER_HEALTH_SAMPLES_MIN)
      return TRUE;
  return FALSE;
}

/* Returns whether one more server may be ejected: another one must remain, and
   no more than the permitted share may be ejected or on probation.  */
static gboolean
may_eject (struct server_health *const *peers, guint n,
           const struct server_health *server_health)
{
  guint n_ejected = 0;
  guint n_active = 0;
  for (guint i = 0; i < n; i++)
    {
      gboolean is_ejected = peers[i]->state == SERVER_HEALTH_EJECTED
                            || peers[i]->state == SERVER_HEALTH_PROBING;
      if (peers[i] != server_health)
        {
          n_ejected += is_ejected;
          n_active += !is_ejected;
        }
    }
  return n_active >= 1
         && n_ejected + 1 <= MAX (1, n / SERVER_HEALTH_EJECT_SHARE);
}

static void
set_state (struct server_health *server_health, enum server_health_state state,
           gint64 now)
{
  server_health->state = state;
  server_health->state_since = now;
  server_health->stalled = FALSE;
  reset_samples (server_health);
}

static void
eject (struct server_health *server_health, gint64 now, GRand *rand)
{
  if (server_health->state == SERVER_HEALTH_OK
      && now - server_health->state_since > SERVER_HEALTH_BACKOFF_RESET_US)
    server_health->ejections = 0;
  guint doublings
      = MIN (server_health->ejections, SERVER_HEALTH_EJECT_DOUBLINGS);
  double jitter = g_rand_double_range (rand, 1 - SERVER_HEALTH_EJECT_JITTER,
                                       1 + SERVER_HEALTH_EJECT_JITTER);
  server_health->ejections++;
  server_health->ejected_until
      = now + (gint64)((SERVER_HEALTH_EJECT_US << doublings) * jitter);
  set_state (server_health, SERVER_HEALTH_EJECTED, now);
}

static gboolean
has_recovered (const struct server_health *server_health)
{
  return server_health->successes >= SERVER_HEALTH_RECOVERY_SUCCESSES
         && server_health->consecutive_failures == 0;
}

/* Updates the state of one server. Returns TRUE if it was ejected.  */
static gboolean
review (struct server_health *const *peers, guint n,
        struct server_health *server_health, gint64 now, GRand *rand)
{
  if (server_health->state == SERVER_HEALTH_EJECTED)
    {
      if (now >= server_health->ejected_until)
        set_state (server_health, SERVER_HEALTH_PROBING, now);
      return FALSE;
    }
  gboolean is_outlier = is_failing (peers, n, server_health)
                        || is_slow (peers, n, server_health)
                        || is_stalled (peers, n, server_health)
                        || (server_health->state == SERVER_HEALTH_PROBING
                            && server_health->consecutive_failures > 0);
  if (is_outlier && may_eject (peers, n, server_health))
    {
      eject (server_health, now, rand);
      return TRUE;
    }
  if (is_outlier && server_health->state == SERVER_HEALTH_OK)
    set_state (server_health, SERVER_HEALTH_SUSPECT, now);
  else if (!is_outlier && server_health->state != SERVER_HEALTH_OK
           && has_recovered (server_health))
    set_state (server_health, SERVER_HEALTH_OK, now);
  return FALSE;
}

/* Updates the states of the N servers of a group, which are each other's peers.
   Returns how many were ejected.  */
guint
server_health_review (struct server_health *const *peers, guint n, gint64 now,
                      GRand *rand)
{
  guint ejected = 0;
  for (guint i = 0; i < n; i++)
    ejected += review (peers, n, peers[i], now, rand);
  return ejected;
}

/* Returns how many of LIMIT requests the server may have in flight.  */
guint
server_health_slots (const struct server_health *server_health, guint limit)
{
  switch (server_health->state)
    {
    case SERVER_HEALTH_EJECTED:
      return 0;
    case SERVER_HEALTH_SUSPECT:
    case SERVER_HEALTH_PROBING:
      return MIN (limit, SERVER_HEALTH_PROBE_SLOTS);
    case SERVER_HEALTH_OK:
      break;
    }
  return limit;
}

/* Returns whether the next request should be sent to this server as a probe.
   URGENT is set for a request of the highest tier, which is used only if no
   other one came within SERVER_HEALTH_URGENT_PROBE_INTERVAL_US.  */
gboolean
server_health_probe_due (const struct server_health *server_health, gint64 now,
                         gboolean urgent)
{
  if (server_health->state != SERVER_HEALTH_PROBING
      && server_health->state != SERVER_HEALTH_SUSPECT)
    return FALSE;
  gint64 last = MAX (server_health->last_probe, server_health->state_since);
  return now - last >= (urgent ? SERVER_HEALTH_URGENT_PROBE_INTERVAL_US
                               : SERVER_HEALTH_PROBE_INTERVAL_US);
}

void
server_health_probe_started (struct server_health *server_health, gint64 now)
{
  server_health->last_probe = now;
}
