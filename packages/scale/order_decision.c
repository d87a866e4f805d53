#include "scale/server_orders_internal.h"

#include "base/log.h"

#include <string.h>

/* Addresses this load pattern: load in waves of 11 to 13 s and bursts of 3 to
   10 s, servers that take seconds to start, and cheap servers that the platform
   takes back, all of a domain at once.  */

/* Covers a period of the waves; until then no fewer servers run in sum. */
#define HISTORY_US (15 * CLK_S)
#define DEMAND_KNOWN_US (3 * CLK_S) /* before, nothing is ordered */
#define SURPLUS_US (8 * CLK_S)      /* before servers are given up */
#define REDUCTION_INTERVAL_US (8 * CLK_S)
#define REDUCTION_SHARE 3 /* one in so many servers may leave at a time */
/* Changes of the predicted load that are ignored, in servers and as a share. */
#define CHANGE_MIN 1.0
#define CHANGE_SHARE 0.1
/* A domain that is cut off seems to have no load at all; a domain that has lost
   its load seldom drops below this share of it. */
#define CUT_OFF_SHARE 0.05
#define CUT_OFF_US (120 * CLK_S)
/* After a reclaim, no spot servers are ordered in the domain. */
#define RECLAIM_US (30 * CLK_S)
#define REPEAT_US (10 * CLK_S)
#define REPEATS_MAX 2 /* of an order, before it counts as refused */

/* Returns whether PREDICTED differs from LOAD by less than what is worth an
   order.  */
static gboolean
is_small_change (double load, double predicted)
{
  double servers = load / SERVER_PLAN_UTILIZATION;
  double change = predicted / SERVER_PLAN_UTILIZATION - servers;
  return ABS (change) < MAX (CHANGE_MIN, CHANGE_SHARE * servers);
}

/* Follows the predicted load of SUBJECT: up at once, down when less has been
   predicted for a while, and neither for little.  */
static void
follow_load (struct order_subject *subject,
             const struct routing_scaling *scaling, gint64 now)
{
  load_forecast_add (&subject->forecast, subject->own_load, now);
  double predicted
      = load_forecast_predict (&subject->forecast, scaling->startup_us, now);
  if (subject->planned_load == 0 || predicted >= subject->planned_load
      || is_small_change (subject->planned_load, predicted))
    {
      subject->lower_since = 0;
      if (subject->planned_load == 0
          || !is_small_change (subject->planned_load, predicted))
        subject->planned_load = predicted;
      return;
    }
  if (subject->lower_since == 0)
    {
      subject->lower_since = now;
      subject->lower_load = predicted;
    }
  subject->lower_load = MAX (subject->lower_load, predicted);
  gboolean cut_off = load_forecast_present (&subject->forecast)
                     < CUT_OFF_SHARE * subject->planned_load;
  if (now - subject->lower_since < (cut_off ? CUT_OFF_US : SURPLUS_US))
    return;
  subject->planned_load = cut_off ? predicted : subject->lower_load;
  subject->lower_since = 0;
}

/* Notices that spot servers of SUBJECT are being taken away: fewer are ready
   than were before, and fewer than ordered, and some are leaving or most are
   gone.  */
static void
find_reclaim (const struct order_round *round, struct order_subject *subject)
{
  struct order_kind *kind = &subject->kinds[SERVER_SPOT];
  guint ordered
      = kind->wanted != ORDER_NO_NUMBER ? (guint)kind->wanted : G_MAXINT;
  kind->reached = MIN (MAX (kind->reached, kind->ready), ordered);
  if (kind->ready >= kind->reached
      || (kind->leaving == 0 && 2 * kind->ready >= kind->reached))
    return;
  kind->reached = kind->ready;
  kind->limit = kind->ready;
  kind->refused_until = round->now + RECLAIM_US;
  kind->is_reclaimed = TRUE;
  server_orders_count (round->orders, COUNTER_SPOT_RECLAIMS);
  log_event (LOG_WARN, "order.reclaimed",
             "service=%s domain=%s ordered=%u ready=%u leaving=%u",
             subject->service, subject->domain, ordered, kind->ready,
             kind->leaving);
}

/* Repeats the order for servers of kind K if fewer are listed for long. If that
   does not help, spot servers cannot be had at present; regular ones go on
   being ordered.  */
static void
repeat_order (struct order_subject *subject, enum server_kind k,
              const struct routing_scaling *scaling, gint64 now)
{
  struct order_kind *kind = &subject->kinds[k];
  if (kind->wanted == ORDER_NO_NUMBER || kind->wanted != kind->accepted
      || (gint)kind->ready >= kind->wanted)
    {
      if ((gint)kind->ready >= kind->wanted)
        kind->repeats = 0;
      kind->short_since = 0;
      return;
    }
  if (kind->short_since == 0)
    kind->short_since = now;
  gint64 wait = MAX (REPEAT_US, 2 * scaling->startup_us);
  if (now - kind->short_since < wait)
    return;
  kind->short_since = 0;
  if (kind->repeats++ < REPEATS_MAX || k != SERVER_SPOT)
    {
      kind->accepted = ORDER_NO_NUMBER;
      subject->reason = ORDER_REPEATED;
      return;
    }
  kind->repeats = 0;
  server_orders_refuse (kind, kind->ready, now);
}

/* Returns how many servers of KIND can be had.  */
static guint
available (const struct order_kind *kind, gint64 now)
{
  guint current = server_orders_current (kind);
  if (now < kind->refused_until)
    return kind->is_reclaimed ? MIN (kind->limit, kind->ready) : kind->limit;
  return kind->step_max > 0 ? current + kind->step_max : SERVER_PLAN_UNLIMITED;
}

/* The servers of a subject before and after a decision.  */
struct change
{
  guint from[SERVER_KINDS];
  guint to[SERVER_KINDS];
  enum order_reason reason;
};

/* Adds what the plan has in addition, at once. While servers of one kind
   replace those of the other, both run, up to the maximum.  */
static void
add_servers (const struct order_subject *subject,
             const struct routing_scaling *scaling, struct change *change)
{
  for (guint k = 0; k < SERVER_KINDS; k++)
    {
      guint other = change->to[SERVER_KINDS - 1 - k];
      guint room = scaling->max_servers - MIN (other, scaling->max_servers);
      guint more = MIN (subject->plan[k], room);
      if (more <= change->to[k])
        continue;
      change->to[k] = more;
      change->reason = ORDER_LOAD;
    }
}

/* Gives up servers that cannot be had at present, so that what is ordered is
   what the platform can do.  */
static void
drop_unavailable (const struct order_subject *subject, struct change *change,
                  gint64 now)
{
  for (guint k = 0; k < SERVER_KINDS; k++)
    {
      const struct order_kind *kind = &subject->kinds[k];
      guint most = available (kind, now);
      if (now >= kind->refused_until || most >= change->to[k])
        continue;
      change->to[k] = most;
      change->reason = kind->is_reclaimed ? ORDER_RECLAIMED : ORDER_REFUSED;
    }
}

/* Returns the servers of SUBJECT that must go on serving.  */
static guint
least_serving (const struct server_orders *orders,
               const struct order_subject *subject,
               const struct routing_scaling *scaling,
               const struct change *change, gint64 now)
{
  guint planned = subject->plan[SERVER_REGULAR] + subject->plan[SERVER_SPOT];
  if (now - orders->history_since < HISTORY_US)
    planned = MAX (planned, subject->running_at_start);
  /* At the maximum, replacements have room only after others have left. */
  if (planned > 1
      && change->to[SERVER_REGULAR] + change->to[SERVER_SPOT]
             >= scaling->max_servers
      && (change->to[SERVER_REGULAR] < subject->plan[SERVER_REGULAR]
          || change->to[SERVER_SPOT] < subject->plan[SERVER_SPOT]))
    planned -= MAX (planned / (2 * REDUCTION_SHARE), 1);
  return planned;
}

/* Gives up servers that have been surplus for a while, regular ones first, if
   enough others serve, and not too many at a time.  */
static void
remove_servers (const struct order_round *round, struct order_subject *subject,
                const struct routing_scaling *scaling, struct change *change)
{
  const struct order_kind *kinds = subject->kinds;
  guint ready = kinds[SERVER_REGULAR].ready + kinds[SERVER_SPOT].ready;
  guint leaving = kinds[SERVER_REGULAR].leaving + kinds[SERVER_SPOT].leaving;
  guint serving = kinds[SERVER_REGULAR].serving + kinds[SERVER_SPOT].serving;
  guint least
      = least_serving (round->orders, subject, scaling, change, round->now);
  if ((change->to[SERVER_REGULAR] <= subject->plan[SERVER_REGULAR]
       && change->to[SERVER_SPOT] <= subject->plan[SERVER_SPOT])
      || ready <= least)
    {
      subject->surplus_since = 0;
      return;
    }
  if (subject->surplus_since == 0)
    subject->surplus_since = round->now;
  if (serving <= least || round->now - subject->surplus_since < SURPLUS_US
      || (subject->reduced_at != 0
          && round->now - subject->reduced_at < REDUCTION_INTERVAL_US))
    return;
  guint at_a_time = MAX ((ready + leaving) / REDUCTION_SHARE, 1);
  guint step = MIN (at_a_time - MIN (leaving, at_a_time), serving - least);
  for (guint k = 0; k < SERVER_KINDS && step > 0; k++)
    {
      guint surplus = change->to[k] - MIN (subject->plan[k], change->to[k]);
      guint fewer = MIN (surplus, step);
      if (fewer == 0)
        continue;
      change->to[k] -= fewer;
      step -= fewer;
      subject->reduced_at = round->now;
      if (change->reason == ORDER_UNCHANGED)
        change->reason = ORDER_SURPLUS;
    }
}

static void
log_change (const struct order_subject *subject, const struct change *change)
{
  const struct order_kind *kinds = subject->kinds;
  log_event (LOG_INFO, "order.decided",
             "service=%s domain=%s reason=%s load=%.2f planned_load=%.2f"
             " plan=%u+%u serving=%u+%u leaving=%u regular=%u>%u spot=%u>%u",
             subject->service, subject->domain,
             server_orders_reason_name (change->reason), subject->own_load,
             subject->planned_load, subject->plan[SERVER_REGULAR],
             subject->plan[SERVER_SPOT], kinds[SERVER_REGULAR].serving,
             kinds[SERVER_SPOT].serving,
             kinds[SERVER_REGULAR].leaving + kinds[SERVER_SPOT].leaving,
             change->from[SERVER_REGULAR], change->to[SERVER_REGULAR],
             change->from[SERVER_SPOT], change->to[SERVER_SPOT]);
}

/* Brings the order for SUBJECT one step closer to its plan.  */
static void
decide (const struct order_round *round, struct order_subject *subject,
        const struct routing_scaling *scaling)
{
  struct change change = { .reason = ORDER_UNCHANGED };
  for (guint k = 0; k < SERVER_KINDS; k++)
    change.from[k] = change.to[k] = server_orders_current (&subject->kinds[k]);
  drop_unavailable (subject, &change, round->now);
  add_servers (subject, scaling, &change);
  remove_servers (round, subject, scaling, &change);
  /* Without the last holder's numbers, the platform may have others than those
     that run; once the load is known, it is told which. */
  gboolean is_known = round->now - round->orders->history_since >= HISTORY_US;
  for (guint k = 0; k < SERVER_KINDS; k++)
    if (is_known && subject->kinds[k].wanted == ORDER_NO_NUMBER
        && change.reason == ORDER_UNCHANGED)
      change.reason = ORDER_TAKEN_OVER;
  if (change.reason == ORDER_UNCHANGED)
    return;
  for (guint k = 0; k < SERVER_KINDS; k++)
    if (change.to[k] != change.from[k]
        || (is_known && subject->kinds[k].wanted == ORDER_NO_NUMBER))
      {
        struct order_kind *kind = &subject->kinds[k];
        kind->wanted = (gint)change.to[k];
        kind->reached = MIN (kind->ready, change.to[k]);
        kind->short_since = 0;
        kind->repeats = 0;
      }
  subject->reason = change.reason;
  subject->changed_at = round->now;
  log_change (subject, &change);
}

/* Plans the N subjects of one service from index FROM on, and decides on the
   next step of each.  */
void
server_orders_decide (const struct order_round *round, guint from, guint n,
                      const struct routing_scaling *scaling)
{
  const struct server_plan_limits limits
      = { .min = scaling->min_servers, .max = scaling->max_servers };
  struct order_subject **subjects
      = (struct order_subject **)round->orders->subjects->pdata + from;
  struct server_plan_domain *domains = g_new0 (struct server_plan_domain, n);
  gint64 now = round->now;
  for (guint i = 0; i < n; i++)
    {
      struct order_subject *subject = subjects[i];
      const struct order_kind *kinds = subject->kinds;
      if (subject->running_at_start == 0)
        subject->running_at_start
            = kinds[SERVER_REGULAR].ready + kinds[SERVER_SPOT].ready;
      follow_load (subject, scaling, now);
      find_reclaim (round, subject);
      domains[i].load = subject->planned_load;
      domains[i].price = routing_domain_price (scaling, subject->domain);
      for (guint k = 0; k < SERVER_KINDS; k++)
        domains[i].available[k] = available (&kinds[k], now);
      if (scaling->spot_share >= 1)
        domains[i].available[SERVER_SPOT] = 0;
    }
  server_plan_make (&limits, domains, n);
  for (guint i = 0; i < n; i++)
    {
      memcpy (subjects[i]->plan, domains[i].wanted, sizeof subjects[i]->plan);
      if (!round->orders->is_loaded
          || now - round->orders->history_since < DEMAND_KNOWN_US)
        continue;
      for (guint k = 0; k < SERVER_KINDS; k++)
        repeat_order (subjects[i], k, scaling, now);
      decide (round, subjects[i], scaling);
    }
  g_free (domains);
}
