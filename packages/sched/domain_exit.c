#include "sched/domain_exit.h"

#include "base/json_add.h"

#include <math.h>
#include <string.h>

/* Addresses these load patterns:
   - Domains whose peaks come at different times, and domains that lose servers:
     their excess goes to where capacity is free, and comes back.
   - Many instances that see the same domain as free, from information of up to
     a second ago. Each sends only its share of that capacity, so that all of
     them together do not exceed it.
   - All domains full at once: no capacity is free, so nobody leaves.

   The busy share of a domain's servers tells the rate that it could still take.
   It includes what this domain has sent there, so an instance adds its share of
   the free capacity to its own recent rate. Pending work alone would not do: an
   idle domain has none whether it gets a tenth or nine tenths of what it can
   serve.  */

#define SAME_DOMAIN_ROUND_TRIP_US 1000.0
#define REGION_ROUND_TRIP_US                                                   \
  3000.0 /* round trip to another domain of the region */
#define REMOTE_ROUND_TRIP_US 70000.0 /* round trip to another region */
#define REGION_PRICE_US 8000.0       /* added cost of another domain */
#define REMOTE_PRICE_US                                                        \
  30000.0 /* added cost of another region, besides its round trip */
#define BYTE_PRICE_US 0.5 /* cost per byte sent to another domain */

/* Leaving starts when it has paid for this time; it must not start for a burst
   that the own domain absorbs before the others know of it. */
#define START_AFTER_US (200 * CLK_MS)
/* Leaving ends when the own domain has recovered for this time, which is the
   age of what other domains know. */
#define END_AFTER_US (1 * CLK_S)
/* Share of the cost of leaving below which the own domain counts as recovered.
 */
#define END_SHARE 0.5
/* Pending work of a server that is no excess, and the time in which an excess
   is to be sent away; several times the age of the information about the own
   domain, so that it is not sent twice. */
#define ACCEPTED_US 50000.0
#define HORIZON_US 500000.0
/* Share of a domain's servers that is left to the domain's own peaks. */
#define RESERVE 0.15
#define BUSY_SMOOTHING_US 500000.0
/* The age of information, about which a rate takes to show at the target. */
#define SENT_SMOOTHING_US 1000000.0
/* Share of the free capacity that is added to the rate of the last second;
   with all of it, the rate would oscillate. */
#define GAIN 0.5
/* Busy share from which a domain may itself send requests away. */
#define SHORT_BUSY_SHARE 0.85
/* Age beyond which free capacity counts as little, as a domain that is cut off
   seems idle once its last report has expired. */
#define AGE_MAX_US (1500 * CLK_MS)
#define STALE_SHARE 0.25
#define BURST_US 300000.0       /* of a rate, that a bucket holds */
#define MEAN_WORK_US 20000.0    /* of a request, until it is measured */
#define MEAN_WORK_MIN_US 1000.0 /* a request without prefill is work, too */
#define MEAN_WEIGHT 0.02        /* weight of a new sample */
/* Share of the time left until the target that the wait may take. */
#define RISK_SHARE 0.5
#define NO_SERVER_WAIT_US 1e9 /* a domain without a usable server */
#define BUDGET_BURST_S 1.0

struct domain_exit
{
  struct domain_exit_target targets[DOMAIN_EXIT_DOMAINS_MAX];
  guint n_targets;
  double home_wait_us;
  double demand; /* rate that this instance is to send away */
  double mean_work_us;
  gint64 updated_at; /* clock time; 0: never */
};

/* Returns the network round trip to a server at DISTANCE.  */
double
domain_exit_round_trip_us (enum topology_distance distance)
{
  switch (distance)
    {
    case TOPOLOGY_SAME_DOMAIN:
      return SAME_DOMAIN_ROUND_TRIP_US;
    case TOPOLOGY_SAME_REGION:
      return REGION_ROUND_TRIP_US;
    case TOPOLOGY_OTHER_REGION:
      break;
    }
  return REMOTE_ROUND_TRIP_US;
}

/* Returns the cost of sending BYTES to DISTANCE, besides the round trip.  */
double
domain_exit_price_us (enum topology_distance distance, gsize bytes)
{
  switch (distance)
    {
    case TOPOLOGY_SAME_DOMAIN:
      return 0;
    case TOPOLOGY_SAME_REGION:
      return REGION_PRICE_US + BYTE_PRICE_US * (double)bytes;
    case TOPOLOGY_OTHER_REGION:
      break;
    }
  return REMOTE_PRICE_US + BYTE_PRICE_US * (double)bytes;
}

static double
path_cost_us (enum topology_distance distance, gsize bytes)
{
  return domain_exit_price_us (distance, bytes)
         + domain_exit_round_trip_us (distance);
}

struct domain_exit *
domain_exit_new (void)
{
  struct domain_exit *domain_exit = g_new0 (struct domain_exit, 1);
  domain_exit->mean_work_us = MEAN_WORK_US;
  return domain_exit;
}

void
domain_exit_free (struct domain_exit *domain_exit)
{
  g_free (domain_exit);
}

gboolean
domain_exit_is_due (const struct domain_exit *domain_exit, gint64 now)
{
  return domain_exit->updated_at == 0
         || now - domain_exit->updated_at >= DOMAIN_EXIT_UPDATE_US;
}

static const struct domain_exit_target *
find_target (const struct domain_exit *domain_exit, const char *name)
{
  for (guint i = 0; i < domain_exit->n_targets; i++)
    if (strcmp (domain_exit->targets[i].name, name) == 0)
      return &domain_exit->targets[i];
  return NULL;
}

static double
wait_of (const struct domain_exit_load *load, double queued_us)
{
  return load->n_servers > 0 ? (load->prefill_us + queued_us) / load->n_servers
                             : NO_SERVER_WAIT_US;
}

/* Returns how many domains may send requests to domain number I of INPUTS: the
   own one and those that are short themselves.  */
static guint
count_senders (const struct domain_exit_inputs *inputs, guint i)
{
  guint n = 1;
  for (guint k = 0; k < inputs->n_domains; k++)
    {
      const struct domain_exit_load *load = &inputs->domains[k].load;
      n += k != i && load->busy >= SHORT_BUSY_SHARE * load->n_servers;
    }
  return n;
}

/* Takes over what is known of domain number I of INPUTS.  */
static void
observe (struct domain_exit_target *target,
         const struct domain_exit_inputs *inputs, guint i, double elapsed_us)
{
  const struct domain_exit_domain *domain = &inputs->domains[i];
  const struct domain_exit_load *load = &domain->load;
  double weight
      = elapsed_us > 0 ? 1 - exp (-elapsed_us / BUSY_SMOOTHING_US) : 1;
  target->distance = domain->distance;
  target->age_us = domain->age_us;
  target->wait_us = wait_of (load, 0);
  target->n_senders = count_senders (inputs, i);
  target->busy += weight * (load->busy - target->busy);
  target->free = (1 - RESERVE) * load->n_servers - target->busy;
  if (target->free > 0 && (domain->age_us < 0 || domain->age_us > AGE_MAX_US))
    target->free *= STALE_SHARE;
  target->sent *= exp (-elapsed_us / SENT_SMOOTHING_US);
}

/* Starts or ends leaving for TARGET. Returns whether this has changed.  */
static gboolean
switch_leaving (const struct domain_exit *domain_exit,
                struct domain_exit_target *target, gint64 now)
{
  double gain_us = domain_exit->home_wait_us - target->wait_us;
  /* A wait for one request is usual and no reason to leave. */
  double cost_us
      = path_cost_us (target->distance, 0) + domain_exit->mean_work_us;
  gboolean pays = gain_us > cost_us && (target->leaving || target->free > 0);
  gboolean recovered = gain_us < END_SHARE * cost_us;
  if (!pays)
    target->pays_since = 0;
  else if (target->pays_since == 0)
    target->pays_since = now;
  if (!recovered)
    target->recovered_since = 0;
  else if (target->recovered_since == 0)
    target->recovered_since = now;
  gboolean leaving
      = target->leaving
            ? !recovered || now - target->recovered_since < END_AFTER_US
            : pays && now - target->pays_since >= START_AFTER_US;
  if (leaving == target->leaving)
    return FALSE;
  target->leaving = leaving;
  if (!leaving)
    target->bucket_us = 0; /* a debt of requests that left anyway */
  return TRUE;
}

/* Returns the rate that this instance may send to TARGET so that all instances
   that may do so together do not exceed what is free there.  */
static double
rate_limit (const struct domain_exit_target *target, guint n_waiters)
{
  if (!target->leaving && target->pays_since == 0)
    return 0;
  double share = target->free / ((double)target->n_senders * n_waiters);
  return MAX (target->sent + GAIN * share, 0);
}

/* Divides the demand among the targets by what they can take; those in other
   regions get what the own region cannot take.  */
static void
set_rates (struct domain_exit *domain_exit, guint n_waiters, double elapsed_us)
{
  double left = domain_exit->demand;
  for (enum topology_distance distance = TOPOLOGY_SAME_REGION;
       distance <= TOPOLOGY_OTHER_REGION; distance++)
    {
      double limits = 0;
      for (guint i = 0; i < domain_exit->n_targets; i++)
        if (domain_exit->targets[i].distance == distance)
          limits += rate_limit (&domain_exit->targets[i], n_waiters);
      double part = limits > 0 ? MIN (1.0, left / limits) : 0;
      for (guint i = 0; i < domain_exit->n_targets; i++)
        if (domain_exit->targets[i].distance == distance)
          domain_exit->targets[i].rate
              = part * rate_limit (&domain_exit->targets[i], n_waiters);
      left -= part * limits;
    }
  for (guint i = 0; i < domain_exit->n_targets; i++)
    {
      struct domain_exit_target *target = &domain_exit->targets[i];
      target->bucket_max_us = target->rate > 0 ? target->rate * BURST_US
                                                     + domain_exit->mean_work_us
                                               : 0;
      target->bucket_us = MIN (target->bucket_us + target->rate * elapsed_us,
                               target->bucket_max_us);
    }
}

/* Returns the index in INPUTS of the domain NAME, or -1.  */
static int
find_input (const struct domain_exit_inputs *inputs, const char *name)
{
  for (guint i = 0; i < inputs->n_domains; i++)
    if (strcmp (inputs->domains[i].name, name) == 0)
      return (int)i;
  return -1;
}

/* Removes the targets that have no usable servers any more and adds the new
   ones.  */
static void
match_targets (struct domain_exit *domain_exit,
               const struct domain_exit_inputs *inputs,
               domain_exit_changed changed, void *ctx)
{
  for (guint i = domain_exit->n_targets; i-- > 0;)
    {
      struct domain_exit_target *target = &domain_exit->targets[i];
      if (find_input (inputs, target->name) >= 0)
        continue;
      if (target->leaving)
        {
          target->leaving = FALSE;
          changed (ctx, target, inputs);
        }
      *target = domain_exit->targets[--domain_exit->n_targets];
    }
  for (guint i = 0; i < inputs->n_domains; i++)
    {
      const char *name = inputs->domains[i].name;
      if (find_target (domain_exit, name) != NULL
          || domain_exit->n_targets == DOMAIN_EXIT_DOMAINS_MAX)
        continue;
      struct domain_exit_target *target
          = &domain_exit->targets[domain_exit->n_targets++];
      *target = (struct domain_exit_target){
        .busy = inputs->domains[i].load.busy,
      };
      g_strlcpy (target->name, name, sizeof target->name);
    }
}

/* Takes over INPUTS, starts and ends leaving, and sets the rates. To be called
   every DOMAIN_EXIT_UPDATE_US; CHANGED is called for each target that begins or
   ceases to get requests.  */
void
domain_exit_update (struct domain_exit *domain_exit,
                    const struct domain_exit_inputs *inputs, gint64 now,
                    domain_exit_changed changed, void *ctx)
{
  double elapsed_us = domain_exit->updated_at != 0
                          ? (double)(now - domain_exit->updated_at)
                          : 0;
  double queued_us = inputs->n_waiting * domain_exit->mean_work_us;
  double excess_us = inputs->home.prefill_us + queued_us
                     - ACCEPTED_US * inputs->home.n_servers;
  guint n_waiters = MAX (inputs->n_waiters, 1);
  domain_exit->updated_at = now;
  domain_exit->home_wait_us
      = MAX (wait_of (&inputs->home, queued_us), (double)inputs->queue_wait_us);
  /* Queued requests are an excess even if prefill is not what they wait for. */
  domain_exit->demand
      = MAX (MAX (excess_us, queued_us), 0) / HORIZON_US / n_waiters;
  match_targets (domain_exit, inputs, changed, ctx);
  for (guint i = 0; i < domain_exit->n_targets; i++)
    {
      struct domain_exit_target *target = &domain_exit->targets[i];
      observe (target, inputs, (guint)find_input (inputs, target->name),
               elapsed_us);
      if (switch_leaving (domain_exit, target, now))
        changed (ctx, target, inputs);
    }
  set_rates (domain_exit, n_waiters, elapsed_us);
}

/* Returns whether the request of QUERY may leave for TARGET as part of the
   excess. Requests that are at risk of missing their target do not wait until
   leaving has paid for a while; these and small ones leave first. One that
   would lose cached blocks needs a gain of twice their prefill time.  */
static gboolean
is_excess (const struct domain_exit *domain_exit,
           const struct domain_exit_target *target,
           const struct domain_exit_query *query)
{
  double wait_us = domain_exit->home_wait_us;
  gboolean at_risk
      = query->left_us > 0
        && wait_us + query->work_us > RISK_SHARE * (double)query->left_us;
  if (!target->leaving && !(at_risk && target->pays_since != 0))
    return FALSE;
  double lost_us = MAX (-query->saved_us, 0) * (at_risk ? 1 : 2);
  double gain_us = wait_us - target->wait_us;
  if (gain_us <= path_cost_us (target->distance, query->body_bytes) + lost_us)
    return FALSE;
  gboolean goes_first = at_risk || query->work_us <= domain_exit->mean_work_us;
  return target->bucket_us > (goes_first ? 0 : target->bucket_max_us / 2);
}

/* Decides whether a request may be sent to a server of another domain although
   the own domain has usable servers. One with a large prefix that is cached
   there may, if that saves more than the path costs; so may one that would be
   rejected otherwise. Only the link between regions limits these.  */
enum domain_exit_verdict
domain_exit_decide (const struct domain_exit *domain_exit,
                    const struct domain_exit_budget *budget,
                    const struct domain_exit_query *query)
{
  const struct domain_exit_target *target
      = find_target (domain_exit, query->domain);
  if (target == NULL)
    return query->may_leave_freely ? DOMAIN_EXIT_LEAVE : DOMAIN_EXIT_STAY;
  gboolean saves
      = query->keeps_prefix
        && query->saved_us > path_cost_us (target->distance, query->body_bytes);
  if (!query->may_leave_freely && !saves
      && !is_excess (domain_exit, target, query))
    return DOMAIN_EXIT_STAY;
  return target->distance == TOPOLOGY_OTHER_REGION && budget->bytes_per_s > 0
                 && budget->bytes <= 0
             ? DOMAIN_EXIT_OVER_BUDGET
             : DOMAIN_EXIT_LEAVE;
}

/* Records that a request with WORK_US of prefill is being sent to a server of
   DOMAIN, which may be the own one.  */
void
domain_exit_record (struct domain_exit *domain_exit, const char *domain,
                    double work_us)
{
  double work = MAX (work_us, MEAN_WORK_MIN_US);
  struct domain_exit_target *target
      = (struct domain_exit_target *)find_target (domain_exit, domain);
  domain_exit->mean_work_us += MEAN_WEIGHT * (work - domain_exit->mean_work_us);
  if (target == NULL)
    return;
  target->bucket_us -= work;
  target->sent += work / SENT_SMOOTHING_US;
}

/* Adds an object with the state to JSON.  */
void
domain_exit_dump (const struct domain_exit *domain_exit, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_int (json, "home_wait_us", (gint64)domain_exit->home_wait_us);
  json_add_int (json, "mean_work_us", (gint64)domain_exit->mean_work_us);
  json_add_double (json, "demand", domain_exit->demand);
  json_builder_set_member_name (json, "targets");
  json_builder_begin_array (json);
  for (guint i = 0; i < domain_exit->n_targets; i++)
    {
      const struct domain_exit_target *target = &domain_exit->targets[i];
      json_builder_begin_object (json);
      json_add_str (json, "domain", target->name);
      json_add_bool (json, "leaving", target->leaving);
      json_add_int (json, "wait_us", (gint64)target->wait_us);
      json_add_int (json, "age_us", target->age_us);
      json_add_double (json, "free", target->free);
      json_add_int (json, "senders", target->n_senders);
      json_add_double (json, "rate", target->rate);
      json_add_double (json, "sent", target->sent);
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
  json_builder_end_object (json);
}

/* Refills BUDGET with the share of this instance, one of INSTANCES, of a link
   of MBPS megabits a second; 0: no limit.  */
void
domain_exit_budget_refill (struct domain_exit_budget *budget, double mbps,
                           guint instances, gint64 now)
{
  double elapsed_s = budget->updated_at != 0
                         ? (double)(now - budget->updated_at) / (double)CLK_S
                         : 0;
  budget->bytes_per_s = mbps * 1e6 / 8 / MAX (instances, 1);
  budget->bytes = MIN (budget->bytes + elapsed_s * budget->bytes_per_s,
                       BUDGET_BURST_S * budget->bytes_per_s);
  budget->updated_at = now;
}

void
domain_exit_budget_charge (struct domain_exit_budget *budget, gsize bytes)
{
  budget->bytes -= (double)bytes;
}
