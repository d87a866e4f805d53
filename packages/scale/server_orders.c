#include "scale/server_orders_internal.h"

#include "base/json_add.h"

#include <string.h>

/* A look at the fleet that comes later than this begins a new history. */
#define OBSERVATION_GAP_US (5 * CLK_S)
#define REFUSAL_MIN_US (5 * CLK_S)
#define REFUSAL_MAX_US (60 * CLK_S)

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
   fewer have not been told to leave: they stay until the load is known. Spot
   servers that are lacking were reclaimed meanwhile.  */
static void
adopt (struct server_orders *orders, gint64 now)
{
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      subject->running_at_start = 0;
      for (guint k = 0; k < SERVER_KINDS; k++)
        {
          struct order_kind *kind = &subject->kinds[k];
          subject->running_at_start += kind->ready;
          if (kind->wanted == ORDER_NO_NUMBER)
            continue;
          kind->wanted = MAX (kind->wanted, (gint)kind->ready);
          kind->reached = (guint)kind->wanted;
          subject->reason = ORDER_TAKEN_OVER;
          subject->changed_at = now;
        }
    }
  orders->adopt = FALSE;
}

/* Looks at the fleet, and decides on orders once a section has been loaded. An
   empty fleet means that the list of servers is not known yet.  */
void
server_orders_observe (struct server_orders *orders,
                       const struct server_orders_view *view, gint64 now)
{
  const struct order_round round
      = { .orders = orders, .view = view, .now = now };
  orders->counter_set = view->counter_set;
  if (view->n_servers == 0 || view->routing_table == NULL)
    return;
  if (orders->observed_at == 0
      || now - orders->observed_at > OBSERVATION_GAP_US)
    restart_history (orders, now);
  orders->observed_at = now;
  server_orders_measure (&round);
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
          server_orders_share_demand (&round, i, n);
          server_orders_decide (&round, i, n, &service->scaling);
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
