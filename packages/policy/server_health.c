#include "policy/server_health.h"

#define HEA_PEERS_MAX 64
#define HEA_WEIGHT 0.1          /* of a new sample of tbt and ttft */
#define HEA_ERROR_WEIGHT 0.2    /* of a new result */
#define HEA_SAMPLES_MIN 8       /* samples that make a mean count */
#define HEA_TTFT_SAMPLES_MIN 24 /* the same for ttft, which varies more */
#define HEA_PROMPT_TOKENS 500   /* of a prompt of common length */
#define HEA_PROBE_SAMPLES_MIN 4 /* the same while probing */
#define HEA_TBT_FACTOR 2.0      /* times the peers' median */
#define HEA_TTFT_FACTOR 3.0     /* times the peers' median */
#define HEA_TTFT_EXCESS_US                                                     \
  500000.0                  /* above the peers' median; prompts differ */
#define HEA_LOAD_FACTOR 1.5 /* times the peers' requests in flight */
#define HEA_ERROR_SHARE 0.5
#define HEA_FAILED_ROW 3      /* failures in a row while peers are well */
#define HEA_UNREACHABLE_ROW 5 /* of these, whatever the peers do */
#define HEA_PASSES 3          /* results that end a probe well */
#define HEA_EJECT_SHARE 3     /* one in so many may be ejected */
#define HEA_EJECT_US (2 * CLK_S)
#define HEA_EJECT_DOUBLINGS 5
#define HEA_EJECT_JITTER 0.2       /* share of the time */
#define HEA_FORGET_US (60 * CLK_S) /* well for so long: back-off restarts */

static const char *const names[] = {
#define HEA_NAME(id, name) name,
  HEA_STATES (HEA_NAME)
#undef HEA_NAME
};

/* Returns the name of STATE as it stands in the dump.  */
const char *
hea_state_name (enum hea_state state)
{
  return names[state];
}

void
hea_init (struct hea *hea, gint64 now)
{
  *hea = (struct hea){ .state = HEA_OK, .since = now };
}

/* Adds a sample with WEIGHT; the first ones count evenly.  */
void
hea_mean_add (struct hea_mean *mean, double value, double weight)
{
  mean->n++;
  weight = MAX (weight, 1.0 / mean->n);
  mean->value += weight * (value - mean->value);
}

/* Takes a time between tokens, seen with IN_FLIGHT requests in flight.  */
void
hea_tbt (struct hea *hea, gint64 tbt_us, guint in_flight)
{
  hea_mean_add (&hea->tbt, (double)tbt_us, HEA_WEIGHT);
  hea_mean_add (&hea->in_flight, in_flight, HEA_WEIGHT);
}

/* Takes the time to first token of one request, scaled to a prompt of common
   length, so that servers with unlike prompts compare.  */
void
hea_ttft (struct hea *hea, gint64 ttft_us, guint prompt_tokens)
{
  double scale = 2.0 * HEA_PROMPT_TOKENS / (HEA_PROMPT_TOKENS + prompt_tokens);
  hea_mean_add (&hea->ttft, (double)ttft_us * scale, HEA_WEIGHT);
}

/* Takes the result of one attempt.  */
void
hea_result (struct hea *hea, enum hea_result result)
{
  gboolean failed = result != HEA_PASSED;
  hea_mean_add (&hea->errors, failed, HEA_ERROR_WEIGHT);
  hea->failed_in_row = failed ? hea->failed_in_row + 1 : 0;
  hea->unreachable_in_row
      = result == HEA_UNREACHABLE ? hea->unreachable_in_row + 1 : 0;
  hea->passed += !failed;
}

static void
forget_samples (struct hea *hea)
{
  hea->tbt = hea->ttft = hea->in_flight = hea->errors = (struct hea_mean){ 0 };
  hea->failed_in_row = hea->unreachable_in_row = hea->passed = 0;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Returns the median of the member at OFFSET over the peers of SELF, those
   with MIN samples; negative if there are none.  */
static double
peer_median (struct hea *const *peers, guint n, const struct hea *self,
             gsize offset, guint min)
{
  double values[HEA_PEERS_MAX];
  guint count = 0;
  for (guint i = 0; i < n && count < HEA_PEERS_MAX; i++)
    {
      const struct hea_mean *mean
          = (const struct hea_mean *)((const char *)peers[i] + offset);
      if (peers[i] != self && peers[i]->state != HEA_EJECTED && mean->n >= min)
        values[count++] = mean->value;
    }
  if (count == 0)
    return -1;
  qsort (values, count, sizeof *values, compare_doubles);
  return count % 2 ? values[count / 2]
                   : (values[count / 2 - 1] + values[count / 2]) / 2;
}

static guint
samples_min (const struct hea *hea)
{
  return hea->state == HEA_OK ? HEA_SAMPLES_MIN : HEA_PROBE_SAMPLES_MIN;
}

/* Tells whether the mean at OFFSET, of MIN samples or more, is beyond FACTOR
   times the peers' and EXCESS above it.  */
static gboolean
is_beyond (struct hea *const *peers, guint n, const struct hea *hea,
           gsize offset, guint min, double factor, double excess)
{
  const struct hea_mean *mean
      = (const struct hea_mean *)((const char *)hea + offset);
  if (mean->n < min)
    return FALSE;
  double median = peer_median (peers, n, hea, offset, HEA_SAMPLES_MIN);
  return median > 0 && mean->value > factor * median
         && mean->value > median + excess;
}

/* Slow for its load: a server with more in flight than its peers is allowed
   to be slower.  */
static gboolean
is_slow (struct hea *const *peers, guint n, const struct hea *hea)
{
  const gsize in_flight = G_STRUCT_OFFSET (struct hea, in_flight);
  const gsize tbt = G_STRUCT_OFFSET (struct hea, tbt);
  const gsize ttft = G_STRUCT_OFFSET (struct hea, ttft);
  guint min = samples_min (hea);
  if (is_beyond (peers, n, hea, in_flight, 1, HEA_LOAD_FACTOR, 0))
    return FALSE;
  return is_beyond (peers, n, hea, tbt, min, HEA_TBT_FACTOR, 0)
         || is_beyond (peers, n, hea, ttft, HEA_TTFT_SAMPLES_MIN,
                       HEA_TTFT_FACTOR, HEA_TTFT_EXCESS_US);
}

/* Fails while its peers do not; unreachable counts whatever they do.  */
static gboolean
is_failing (struct hea *const *peers, guint n, const struct hea *hea)
{
  if (hea->unreachable_in_row >= HEA_UNREACHABLE_ROW)
    return TRUE;
  double others
      = peer_median (peers, n, hea, G_STRUCT_OFFSET (struct hea, errors), 1);
  if (others < 0 || others >= HEA_ERROR_SHARE / 2)
    return FALSE;
  return hea->failed_in_row >= HEA_FAILED_ROW
         || (hea->errors.n >= samples_min (hea)
             && hea->errors.value > HEA_ERROR_SHARE);
}

static gboolean
is_stalled (struct hea *const *peers, guint n, const struct hea *hea)
{
  if (!hea->stalled)
    return FALSE;
  for (guint i = 0; i < n; i++)
    if (peers[i] != hea && peers[i]->state == HEA_OK && !peers[i]->stalled
        && peers[i]->tbt.n >= HEA_SAMPLES_MIN)
      return TRUE;
  return FALSE;
}

static gboolean
may_eject (struct hea *const *peers, guint n, const struct hea *hea)
{
  guint out = 0;
  guint in = 0;
  for (guint i = 0; i < n; i++)
    {
      gboolean is_out
          = peers[i]->state == HEA_EJECTED || peers[i]->state == HEA_PROBING;
      if (peers[i] != hea)
        {
          out += is_out;
          in += !is_out;
        }
    }
  return in >= 1 && out + 1 <= MAX (1, n / HEA_EJECT_SHARE);
}

static void
enter (struct hea *hea, enum hea_state state, gint64 now)
{
  hea->state = state;
  hea->since = now;
  hea->stalled = FALSE;
  forget_samples (hea);
}

static void
eject (struct hea *hea, gint64 now, GRand *rand)
{
  if (hea->state == HEA_OK && now - hea->since > HEA_FORGET_US)
    hea->ejections = 0;
  guint doublings = MIN (hea->ejections, HEA_EJECT_DOUBLINGS);
  double jitter
      = g_rand_double_range (rand, 1 - HEA_EJECT_JITTER, 1 + HEA_EJECT_JITTER);
  hea->ejections++;
  hea->until = now + (gint64)((HEA_EJECT_US << doublings) * jitter);
  enter (hea, HEA_EJECTED, now);
}

static gboolean
has_passed (const struct hea *hea)
{
  return hea->passed >= HEA_PASSES && hea->failed_in_row == 0;
}

/* Reviews one server. Returns TRUE if it was ejected.  */
static gboolean
review (struct hea *const *peers, guint n, struct hea *hea, gint64 now,
        GRand *rand)
{
  if (hea->state == HEA_EJECTED)
    {
      if (now >= hea->until)
        enter (hea, HEA_PROBING, now);
      return FALSE;
    }
  gboolean bad = is_failing (peers, n, hea) || is_slow (peers, n, hea)
                 || is_stalled (peers, n, hea)
                 || (hea->state == HEA_PROBING && hea->failed_in_row > 0);
  if (bad && may_eject (peers, n, hea))
    {
      eject (hea, now, rand);
      return TRUE;
    }
  if (bad && hea->state == HEA_OK)
    enter (hea, HEA_SUSPECT, now);
  else if (!bad && hea->state != HEA_OK && has_passed (hea))
    enter (hea, HEA_OK, now);
  return FALSE;
}

/* Reviews the N servers of a cell. Returns how many were ejected.  */
guint
hea_review (struct hea *const *peers, guint n, gint64 now, GRand *rand)
{
  guint ejected = 0;
  for (guint i = 0; i < n; i++)
    ejected += review (peers, n, peers[i], now, rand);
  return ejected;
}

/* Returns how many of LIMIT requests the server may have in flight.  */
guint
hea_slots (const struct hea *hea, guint limit)
{
  switch (hea->state)
    {
    case HEA_EJECTED:
      return 0;
    case HEA_SUSPECT:
    case HEA_PROBING:
      return MIN (limit, HEA_PROBE_SLOTS);
    case HEA_OK:
      break;
    }
  return limit;
}

/* Tells whether the next start should go to this server as a probe; URGENT
   work of the highest tier only does if no other came.  */
gboolean
hea_wants_probe (const struct hea *hea, gint64 now, gboolean urgent)
{
  if (hea->state != HEA_PROBING && hea->state != HEA_SUSPECT)
    return FALSE;
  gint64 last = MAX (hea->probed, hea->since);
  return now - last >= (urgent ? HEA_PROBE_URGENT_US : HEA_PROBE_GAP_US);
}

/* Notes that a probe starts.  */
void
hea_probe (struct hea *hea, gint64 now)
{
  hea->probed = now;
}
