#include "scale/server_orders_internal.h"

/* Addresses this load pattern: an instance that knows the loads of all servers
   by gossip, and the demand for prefill only if usage is accounted for.  */

#define STARTUP_MARGIN_US                                                      \
  (2 * CLK_S) /* until a new server counts as serving                          \
               */
/* Time to a first event that is not spent on prefill. */
#define FIRST_EVENT_S 0.05
/* Pending prefill of this length counts as another busy server. */
#define BACKLOG_S 1.0
#define BACKLOG_MAX 3.0
/* The loads tell the prefill time roughly; this share of it is a lower bound to
   what the demand tells. */
#define LOADS_TRUST 0.5

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
count_server (const struct order_round *round, struct order_subject *subject,
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
load_of (const struct order_round *round, const struct order_subject *subject,
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
void
server_orders_measure (const struct order_round *round)
{
  struct server_orders *orders = round->orders;
  const struct server_orders_view *view = round->view;
  for (guint i = 0; i < orders->subjects->len; i++)
    {
      struct order_subject *subject = g_ptr_array_index (orders->subjects, i);
      const struct routing_service *service
          = routing_service (view->routing_table, subject->service);
      subject->is_scaled = service != NULL && service->has_scaling;
      subject->max = subject->is_scaled ? service->scaling.max_servers : 0;
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
      subject->max = service->scaling.max_servers;
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

/* Adds to the N subjects from index FROM on what is demanded in domains that
   have no servers of the service, by their numbers of servers.  */
void
server_orders_share_demand (const struct order_round *round, guint from,
                            guint n)
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
      if (!view->demand (view->ctx, service, subjects[i]->domain, &one,
                         &output))
        return; /* what it has is not known, so the rest is not either */
      all -= one;
    }
  for (guint i = 0; all > 0 && ready > 0 && i < n; i++)
    subjects[i]->own_load += all * prefill_us (view, service) / 1e6
                             * (subjects[i]->kinds[SERVER_REGULAR].ready
                                + subjects[i]->kinds[SERVER_SPOT].ready)
                             / ready;
}
