#include "sched/exit_inputs.h"

#include <string.h>

static void
add_server (const struct placement_view *view, GHashTable *totals,
            const struct registry_server *server, struct domain_exit_load *load)
{
  const struct server_load *total
      = g_hash_table_lookup (totals, GUINT_TO_POINTER (server->number));
  guint slots = MAX (server->entry.slots, 1);
  load->n_servers++;
  if (total == NULL)
    return;
  if (view->engine != NULL)
    slots = MAX (MIN (view->engine->batch, slots), 1);
  load->busy += total->prefill_tokens > 0
                    ? 1.0
                    : MIN ((double)total->requests / slots, 1.0);
  load->prefill_us += view->us_per_token * (double)total->prefill_tokens;
}

/* Returns the age of what is known of the load of DOMAIN. Where each instance
   reports for itself, the reports of one that has gone expire, and what is left
   is recent.  */
static gint64
age_of (const struct placement_view *view, const char *domain)
{
  if (view->self.has_direct_reports)
    return 0;
  gint64 at = server_load_reported_at (view->server_load_table,
                                       server_load_domain_peer (domain));
  return at != 0 ? view->now - at : DOMAIN_EXIT_AGE_UNKNOWN;
}

/* Returns the domain NAME in INPUTS, which is added if it is new; NULL: there
   are too many.  */
static struct domain_exit_domain *
domain_of (const struct placement_view *view, const char *name,
           struct domain_exit_inputs *inputs)
{
  for (guint i = 0; i < inputs->n_domains; i++)
    if (strcmp (inputs->domains[i].name, name) == 0)
      return &inputs->domains[i];
  if (inputs->n_domains == DOMAIN_EXIT_DOMAINS_MAX)
    return NULL;
  struct domain_exit_domain *domain = &inputs->domains[inputs->n_domains++];
  *domain = (struct domain_exit_domain){
    .name = name,
    .distance = topology_distance (view->topology, name),
    .age_us = age_of (view, name),
  };
  return domain;
}

/* Fills INPUTS for the service of VIEW; QUEUE_WAIT_US is the predicted wait of
   a new request in the queue of this instance. What the peers have queued is
   not known by service; that of all services is used.  */
void
exit_inputs_collect (const struct placement_view *view, gint64 queue_wait_us,
                     struct domain_exit_inputs *inputs)
{
  const struct placement_self *self = &view->self;
  g_autoptr (GHashTable) totals = server_load_totals (view->server_load_table);
  memset (inputs, 0, sizeof *inputs);
  inputs->queue_wait_us = queue_wait_us;
  inputs->n_waiting = view->n_waiting;
  inputs->n_waiters = self->contenders != NULL
                          ? self->n_contenders + (view->n_waiting > 0)
                          : self->domain_instances;
  for (guint i = 0; self->contenders != NULL && i < self->n_contenders; i++)
    inputs->n_waiting += self->contenders[i].n_waiting;
  for (guint i = 0; i < view->n_servers; i++)
    {
      const struct registry_server *server = view->servers[i];
      const char *name = server->entry.domain;
      if (strcmp (server->entry.service, view->service) != 0
          || !registry_may_serve (server, view->now)
          || registry_is_leaving (server) || server->avoid_until > view->now
          || registry_is_backing_off (server, view->now))
        continue;
      if (topology_distance (view->topology, name) == TOPOLOGY_SAME_DOMAIN)
        {
          add_server (view, totals, server, &inputs->home);
          continue;
        }
      struct domain_exit_domain *domain = domain_of (view, name, inputs);
      if (domain != NULL)
        add_server (view, totals, server, &domain->load);
    }
}
