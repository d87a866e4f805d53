#include "scale/server_orders_internal.h"

#include "base/json_add.h"
#include "base/log.h"

#include <string.h>

/* Addresses this load pattern: load in waves of 11 to 13 s and bursts of 3 to
   10 s, servers that take seconds to start, and cheap servers that the platform
   takes back, all of a domain at once.  */

/* A look at the fleet that comes later than this begins a new history. */
#define OBSERVATION_GAP_US (5 * CLK_S)
/* Covers a period of the waves; until then no fewer servers run in sum. */
#define HISTORY_US (15 * CLK_S)
#define DEMAND_KNOWN_US (3 * CLK_S) /* before, nothing is ordered */
#define SURPLUS_US (8 * CLK_S)      /* before servers are given up */
#define REDUCTION_INTERVAL_US (8 * CLK_S)
#define REDUCTION_SHARE 3 /* one in so many servers may leave at a time */
#define STARTUP_MARGIN_US (2 * CLK_S)
/* Changes of the predicted load that are ignored, in servers and as a share. */
#define CHANGE_MIN 1.0
#define CHANGE_SHARE 0.1
/* A domain that is cut off seems to have no load at all; a domain that has lost
   its load seldom drops below this share of it. */
#define CUT_OFF_SHARE 0.05
#define CUT_OFF_US (120 * CLK_S)
#define REFUSAL_MIN_US (5 * CLK_S)
#define REFUSAL_MAX_US (60 * CLK_S)
#define RECLAIM_US                                                             \
  (30 * CLK_S) /* no spot servers are ordered in the domain                    \
                */
#define REPEAT_US (10 * CLK_S)
#define REPEATS_MAX 2 /* of an order, before it counts as refused */
/* Time to a first event that is not spent on prefill. */
#define FIRST_EVENT_S 0.05
/* Pending prefill of this length counts as another busy server. */
#define BACKLOG_S 1.0
#define BACKLOG_MAX 3.0
/* The loads tell the prefill time roughly; this share of it is a lower bound to
   what the demand tells. */
#define LOADS_TRUST 0.5

static const char *const reason_names[] = {
#define ORDER_REASON_NAME(id, name) name,
  ORDER_REASONS (ORDER_REASON_NAME)
#undef ORDER_REASON_NAME
};

const char *
server_orders_reason_name (enum order_reason reason)
{
  return reason_names[reason];
}

void
server_orders_count (struct server_orders *orders, enum counter_id id)
{
  if (orders->counter_set != NULL)
    counter_add (orders->counter_set, id, 1);
}

static void
subject_free (gpointer data)
{
  struct order_subject *subject = data;
  g_free (subject->service);
  g_free (subject->domain);
  g_free (subject);
}

struct server_orders *
server_orders_new (void)
{
  struct server_orders *orders = g_new0 (struct server_orders, 1);
  orders->subjects = g_ptr_array_new_with_free_func (subject_free);
  return orders;
}

void
server_orders_free (struct server_orders *orders)
{
  if (orders == NULL)
    return;
  g_ptr_array_unref (orders->subjects);
  g_free (orders);
}

static int
compare_subject (const struct order_subject *subject, const char *service,
                 const char *domain)
{
  int order = strcmp (subject->service, service);
  return order != 0 ? order : strcmp (subject->domain, domain);
}

/* Returns the subject of SERVICE in DOMAIN, which is added if it is new.  */
struct order_subject *
server_orders_subject (struct server_orders *orders, const char *service,
                       const char *domain)
{
  guint from = 0;
  guint to = orders->subjects->len;
  while (from < to)
    {
      guint middle = from + (to - from) / 2;
      struct order_subject *subject
          = g_ptr_array_index (orders->subjects, middle);
      int order = compare_subject (subject, service, domain);
      if (order == 0)
        return subject;
      if (order < 0)
        from = middle + 1;
      else
        to = middle;
    }
  struct order_subject *subject = g_new0 (struct order_subject, 1);
  subject->service = g_strdup (service);
  subject->domain = g_strdup (domain);
  for (guint k = 0; k < SERVER_KINDS; k++)
    {
      struct order_kind *kind = &subject->kinds[k];
      kind->wanted = kind->given = kind->stored = ORDER_NO_NUMBER;
      kind->accepted = kind->refused = ORDER_NO_NUMBER;
    }
  g_ptr_array_insert (orders->subjects, (gint)from, subject);
  return subject;
}

/* Returns the present number of servers of KIND: as decided, or else those that
   run.  */
guint
server_orders_current (const struct order_kind *kind)
{
  return kind->wanted != ORDER_NO_NUMBER ? (guint)kind->wanted : kind->ready;
}

/* Records that no more than LIMIT servers of KIND can be had for a while.  */
void
server_orders_refuse (struct order_kind *kind, guint limit, gint64 now)
{
  kind->refusal_us
      = CLAMP (kind->refusal_us * 2, REFUSAL_MIN_US, REFUSAL_MAX_US);
  kind->refused_until = now + kind->refusal_us;
  kind->limit = limit;
  kind->is_reclaimed = FALSE;
}

/* What one look at the fleet is about.  */
struct round
{
  struct server_orders *orders;
  const struct server_orders_view *view;
  gint64 now;
};

static double
prefill_us (const struct server_orders_view *view, const char *service)
{
  return view->prefill_us != NULL
             ? view->prefill_us (view->prefill_ctx, service)
             : view->us_per_token;
}

/* The load of the servers of a subject, each in busy servers.  */
struct measured
{
  double slots;   /* requests in progress as a share of all that fit */
  double prefill; /* estimated from the pending prompt tokens */
  double backlog; /* prefill that waits for long */
};

/* Adds a server's load to MEASURED. PENDING_S is the time that its pending
   prompts take. They are pending until their first event, so the share of time
   that the engine spends on them follows from how long that takes.  */
static void
add_load (struct measured *measured, const struct server_load *load,
          guint slots, double pending_s)
{
  measured->slots += (double)load->requests / MAX (slots, 1);
  measured->prefill += pending_s / (pending_s + FIRST_EVENT_S);
  if (pending_s > BACKLOG_S)
    measured->backlog += MIN (pending_s / BACKLOG_S - 1, BACKLOG_MAX);
}

/* Counts SERVER, and adds its load.  */
static void
count_server (const struct round *round, struct order_subject *subject,
              const struct routing_service *service,
              const struct registry_server *server, struct measured *measured)
{
  struct order_kind *kind
      = &subject->kinds[server->entry.is_spot ? SERVER_SPOT : SERVER_REGULAR];
  gint64 serves_at = MAX (server->listed_since + service->scaling.startup_us
                              + STARTUP_MARGIN_US,
                          server->entry.warming_until);
  struct server_load load
      = server_load_total (round->view->server_load_table, server->number);
  double us = prefill_us (round->view, subject->service);
  add_load (measured, &load, server->entry.slots,
            us * (double)load.prefill_tokens / 1e6);
  if (registry_is_leaving (server))
    {
      kind->leaving++;
      return;
    }
  kind->ready++;
  if (round->now >= serves_at)
    kind->serving++;
}

/* Returns the load of SUBJECT in busy servers.  */
static double
load_of (const struct round *round, const struct order_subject *subject,
         const struct measured *measured)
{
  const struct server_orders_view *view = round->view;
  double prefill = measured->prefill;
  double uncached_per_s;
  double output_per_s;
  if (view->demand != NULL
      && view->demand (view->ctx, subject->service, subject->domain,
                       &uncached_per_s, &output_per_s))
    prefill = MAX (uncached_per_s * prefill_us (view, subject->service) / 1e6,
                   LOADS_TRUST * prefill);
  return MAX (prefill, measured->slots) + measured->backlog;
}

/* Counts the servers and measures the loads of all subjects.  */
static void
measure (const struct round *round)
{
  struct server_orders *orders = round->orders;
  const struct server_orders_view *view = round->view;
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      const struct routing_service *service
          = routing_service (view->routing_table, subject->service);
      subject->is_scaled = service != NULL && service->has_scaling;
      for (guint k = 0; k < SERVER_KINDS; k++)
        {
          struct order_kind *kind = &subject->kinds[k];
          kind->ready = kind->serving = kind->leaving = 0;
        }
    }
  GHashTable *loads
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (guint i = 0; i < view->n_servers; i++)
    {
      const struct registry_server *server = view->servers[i];
      const struct routing_service *service
          = routing_service (view->routing_table, server->entry.service);
      if (service == NULL || !service->has_scaling)
        continue;
      struct order_subject *subject = server_orders_subject (
          orders, server->entry.service, server->entry.domain);
      struct measured *measured = g_hash_table_lookup (loads, subject);
      subject->is_scaled = TRUE;
      if (measured == NULL)
        {
          measured = g_new0 (struct measured, 1);
          g_hash_table_insert (loads, subject, measured);
        }
      count_server (round, subject, service, server, measured);
    }
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      static const struct measured nothing;
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      const struct measured *measured = g_hash_table_lookup (loads, subject);
      subject->own_load
          = load_of (round, subject, measured != NULL ? measured : &nothing);
    }
  g_hash_table_unref (loads);
}

/* Begins a new history of loads.  */
static void
restart_history (struct server_orders *orders, gint64 now)
{
  orders->history_since = now;
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      memset (&subject->forecast, 0, sizeof subject->forecast);
      subject->planned_load = 0;
      subject->lower_since = subject->surplus_since = 0;
      subject->running_at_start = 0;
    }
}

/* Takes over what the last holder ordered. Servers that run although it ordered
   fewer have not been told to leave: they stay until the load is known.  */
static void
adopt (struct server_orders *orders, gint64 now)
{
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      for (guint k = 0; k < SERVER_KINDS; k++)
        {
          struct order_kind *kind = &subject->kinds[k];
          if (kind->wanted == ORDER_NO_NUMBER)
            continue;
          kind->wanted = MAX (kind->wanted, (gint)kind->ready);
          subject->reason = ORDER_TAKEN_OVER;
          subject->changed_at = now;
        }
    }
  orders->adopt = FALSE;
}

/* Returns how little a load of PREDICTED changes if it is LOAD.  */
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
  gboolean cut_off
      = subject->lower_load < CUT_OFF_SHARE * subject->planned_load;
  if (now - subject->lower_since < (cut_off ? CUT_OFF_US : SURPLUS_US))
    return;
  subject->planned_load = subject->lower_load;
  subject->lower_since = 0;
}

/* Notices that spot servers of SUBJECT are being taken away: fewer are ready
   than were before, and fewer than ordered, and some are leaving.  */
static void
find_reclaim (const struct round *round, struct order_subject *subject)
{
  struct order_kind *kind = &subject->kinds[SERVER_SPOT];
  guint ordered = server_orders_current (kind);
  kind->reached = MIN (MAX (kind->reached, kind->ready), ordered);
  if (kind->ready >= kind->reached || kind->leaving == 0)
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

/* Repeats an order if fewer servers are listed for long, and gives up on it if
   that does not help.  */
static void
repeat_order (struct order_subject *subject, struct order_kind *kind,
              const struct routing_scaling *scaling, gint64 now)
{
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
  gint64 wait = MAX (REPEAT_US, scaling->startup_us + 2 * STARTUP_MARGIN_US);
  if (now - kind->short_since < wait)
    return;
  kind->short_since = 0;
  if (kind->repeats++ < REPEATS_MAX)
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
      && change->to[SERVER_SPOT] < subject->plan[SERVER_SPOT])
    planned -= MAX (planned / (2 * REDUCTION_SHARE), 1);
  return planned;
}

/* Gives up servers that have been surplus for a while, regular ones first, if
   enough others serve, and not too many at a time.  */
static void
remove_servers (const struct round *round, struct order_subject *subject,
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
      || serving <= least)
    {
      subject->surplus_since = 0;
      return;
    }
  if (subject->surplus_since == 0)
    subject->surplus_since = round->now;
  guint at_a_time = MAX ((ready + leaving) / REDUCTION_SHARE, 1);
  guint step = MIN (at_a_time - MIN (leaving, at_a_time), serving - least);
  if (round->now - subject->surplus_since < SURPLUS_US
      || (subject->reduced_at != 0
          && round->now - subject->reduced_at < REDUCTION_INTERVAL_US))
    return;
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
decide (const struct round *round, struct order_subject *subject,
        const struct routing_scaling *scaling)
{
  struct change change = { .reason = ORDER_UNCHANGED };
  for (guint k = 0; k < SERVER_KINDS; k++)
    change.from[k] = change.to[k] = server_orders_current (&subject->kinds[k]);
  drop_unavailable (subject, &change, round->now);
  add_servers (subject, scaling, &change);
  remove_servers (round, subject, scaling, &change);
  if (change.reason == ORDER_UNCHANGED)
    return;
  for (guint k = 0; k < SERVER_KINDS; k++)
    if (change.to[k] != change.from[k])
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
static void
plan_service (const struct round *round, guint from, guint n,
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
        repeat_order (subjects[i], &subjects[i]->kinds[k], scaling, now);
      decide (round, subjects[i], scaling);
    }
  g_free (domains);
}

/* Adds to the N subjects from index FROM on what is demanded in domains that
   have no servers of the service, by their numbers of servers.  */
static void
share_other_demand (const struct round *round, guint from, guint n)
{
  const struct server_orders_view *view = round->view;
  struct order_subject **subjects
      = (struct order_subject **)round->orders->subjects->pdata + from;
  const char *service = subjects[0]->service;
  double all;
  double one;
  double output;
  guint ready = 0;
  if (view->demand == NULL
      || !view->demand (view->ctx, service, NULL, &all, &output))
    return;
  for (guint i = 0; i < n; i++)
    {
      ready += subjects[i]->kinds[SERVER_REGULAR].ready
               + subjects[i]->kinds[SERVER_SPOT].ready;
      if (view->demand (view->ctx, service, subjects[i]->domain, &one, &output))
        all -= one;
    }
  for (guint i = 0; all > 0 && ready > 0 && i < n; i++)
    subjects[i]->own_load += all * prefill_us (view, service) / 1e6
                             * (subjects[i]->kinds[SERVER_REGULAR].ready
                                + subjects[i]->kinds[SERVER_SPOT].ready)
                             / ready;
}

/* Looks at the fleet, and decides on orders once a section has been loaded. An
   empty fleet means that the list of servers is not known yet.  */
void
server_orders_observe (struct server_orders *orders,
                       const struct server_orders_view *view, gint64 now)
{
  const struct round round = { .orders = orders, .view = view, .now = now };
  orders->counter_set = view->counter_set;
  if (view->n_servers == 0 || view->routing_table == NULL)
    return;
  if (orders->observed_at == 0
      || now - orders->observed_at > OBSERVATION_GAP_US)
    restart_history (orders, now);
  orders->observed_at = now;
  measure (&round);
  if (orders->adopt)
    adopt (orders, now);
  for (guint i = 0; i < orders->subjects->len;)
    {
      const struct order_subject *first
          = g_ptr_array_index (orders->subjects, i);
      const struct routing_service *service
          = routing_service (view->routing_table, first->service);
      guint n = 1;
      while (i + n < orders->subjects->len
             && g_str_equal (((const struct order_subject *)g_ptr_array_index (
                                  orders->subjects, i + n))
                                 ->service,
                             first->service))
        n++;
      if (service != NULL && service->has_scaling)
        {
          share_other_demand (&round, i, n);
          plan_service (&round, i, n, &service->scaling);
        }
      i += n;
    }
}

static void
dump_kind (const struct order_kind *kind, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_add_int (json, "wanted", kind->wanted);
  json_add_int (json, "stored", kind->stored);
  json_add_int (json, "accepted", kind->accepted);
  json_add_int (json, "ready", kind->ready);
  json_add_int (json, "serving", kind->serving);
  json_add_int (json, "leaving", kind->leaving);
  json_add_int (json, "refused_until_us", kind->refused_until);
  json_builder_end_object (json);
}

/* Adds to JSON an array with the state of each service and domain; -1 is no
   number.  */
void
server_orders_dump (const struct server_orders *orders, JsonBuilder *json)
{
  json_builder_begin_array (json);
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      const struct order_subject *subject
          = g_ptr_array_index (orders->subjects, i);
      json_builder_begin_object (json);
      json_add_str (json, "service", subject->service);
      json_add_str (json, "domain", subject->domain);
      json_add_bool (json, "scaled", subject->is_scaled);
      json_add_double (json, "load", subject->own_load);
      json_add_double (json, "planned_load", subject->planned_load);
      json_add_str (json, "reason",
                    server_orders_reason_name (subject->reason));
      json_add_int (json, "changed_at_us", subject->changed_at);
      for (guint k = 0; k < SERVER_KINDS; k++)
        {
          json_builder_set_member_name (json, server_kind_name (k));
          dump_kind (&subject->kinds[k], json);
        }
      json_builder_end_object (json);
    }
  json_builder_end_array (json);
}
