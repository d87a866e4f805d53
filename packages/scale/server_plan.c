#include "scale/server_plan.h"

#include <math.h>

/* The target utilization leaves room for bursts of 2.5 times the load of some
   requests. What must survive the reclaim of a domain's spot servers may be
   busier until replacements start. */
#define SURVIVAL_UTILIZATION 0.8
/* Of a domain's servers; they stay when its spot servers are reclaimed. */
#define REGULAR_SHARE 0.25
/* Servers of a domain with load: a single one would take all requests of the
   domain with it when it fails. */
#define LOADED_MIN 2
/* What all domains together have room for, at the target utilization, relative
   to the load; the cheapest ones get what is lacking. */
#define RESERVE_FACTOR 1.1
/* Of a domain's servers, the most that it has in addition for others, so that
   few requests have to cross to a single domain. */
#define EXTRA_SHARE 0.5

struct plan
{
  const struct server_plan_limits *limits;
  struct server_plan_domain *domains;
  guint n;
  guint *by_price; /* indices of the domains, the cheapest first */
  guint *home;     /* servers of each domain for its own load */
};

static const char *const kind_names[] = {
#define SERVER_KIND_NAME(id, name) name,
  SERVER_KINDS_LIST (SERVER_KIND_NAME)
#undef SERVER_KIND_NAME
};

const char *
server_kind_name (enum server_kind kind)
{
  return kind_names[kind];
}

/* Returns the wanted servers of both kinds.  */
guint
server_plan_total (const struct server_plan_domain *domain)
{
  return domain->wanted[SERVER_REGULAR] + domain->wanted[SERVER_SPOT];
}

static guint
servers_for (double load, double utilization)
{
  /* The tolerance keeps rounding errors from adding a server. */
  return (guint)ceil (load / utilization - 1e-6);
}

/* Plans the servers of DOMAIN for its own load: spot ones but for a floor of
   regular ones, and one kind where the other is not available. Returns how many
   servers are lacking, and adds to REPLACED how many spot ones are.  */
static guint
plan_home (const struct server_plan_limits *limits,
           struct server_plan_domain *domain, guint *replaced)
{
  guint *wanted = domain->wanted;
  guint least = domain->load > 0 ? MAX (limits->min, LOADED_MIN) : limits->min;
  guint need = MAX (servers_for (domain->load, SERVER_PLAN_UTILIZATION), least);
  guint total = MIN (need, limits->max);
  guint floor = MAX (limits->min, (guint)ceil (total * REGULAR_SHARE));
  wanted[SERVER_REGULAR]
      = MIN (MIN (floor, total), domain->available[SERVER_REGULAR]);
  wanted[SERVER_SPOT]
      = MIN (total - wanted[SERVER_REGULAR], domain->available[SERVER_SPOT]);
  *replaced += total - wanted[SERVER_REGULAR] - wanted[SERVER_SPOT];
  wanted[SERVER_REGULAR]
      = MIN (total - wanted[SERVER_SPOT], domain->available[SERVER_REGULAR]);
  return need - server_plan_total (domain);
}

static gboolean
has_room (const struct plan *plan, const struct server_plan_domain *domain,
          enum server_kind kind)
{
  return server_plan_total (domain) < plan->limits->max
         && domain->wanted[kind] < domain->available[kind];
}

/* Adds N servers of KIND in the cheapest domains as far as possible. Returns
   how many were added.  */
static guint
add_extra (struct plan *plan, enum server_kind kind, guint n)
{
  guint added = 0;
  for (guint i = 0; i < plan->n; i++)
    {
      guint index = plan->by_price[i];
      struct server_plan_domain *domain = &plan->domains[index];
      guint most = plan->home[index]
                   + MAX ((guint)(plan->home[index] * EXTRA_SHARE), 1);
      for (; added < n && has_room (plan, domain, kind)
             && server_plan_total (domain) < most;
           added++)
        domain->wanted[kind]++;
    }
  return added;
}

/* Returns the index of the domain with most spot servers.  */
static guint
most_exposed (const struct plan *plan)
{
  guint most = 0;
  for (guint i = 1; i < plan->n; i++)
    if (plan->domains[i].wanted[SERVER_SPOT]
        > plan->domains[most].wanted[SERVER_SPOT])
      most = i;
  return most;
}

/* Adds one server that remains when the spot servers of one domain are
   reclaimed: preferably a spot server in a domain that has fewer of them than
   another, or else a regular one, which replaces a spot server where there is
   no room. Returns FALSE if that is not possible.  */
static gboolean
add_survivor (struct plan *plan)
{
  guint exposed = plan->domains[most_exposed (plan)].wanted[SERVER_SPOT];
  for (guint i = 0; i < plan->n; i++)
    {
      struct server_plan_domain *domain = &plan->domains[plan->by_price[i]];
      if (domain->wanted[SERVER_SPOT] < exposed
          && has_room (plan, domain, SERVER_SPOT))
        {
          domain->wanted[SERVER_SPOT]++;
          return TRUE;
        }
    }
  for (guint i = 0; i < plan->n; i++)
    {
      struct server_plan_domain *domain = &plan->domains[plan->by_price[i]];
      if (has_room (plan, domain, SERVER_REGULAR))
        {
          domain->wanted[SERVER_REGULAR]++;
          return TRUE;
        }
    }
  struct server_plan_domain *domain = &plan->domains[most_exposed (plan)];
  if (domain->wanted[SERVER_SPOT] == 0
      || domain->wanted[SERVER_REGULAR] >= domain->available[SERVER_REGULAR])
    return FALSE;
  domain->wanted[SERVER_SPOT]--;
  domain->wanted[SERVER_REGULAR]++;
  return TRUE;
}

/* Makes the regular servers of all domains, and the spot servers of all domains
   except the one with most of them, enough for LOAD.  */
static void
ensure_survival (struct plan *plan, double load)
{
  guint need = servers_for (load, SURVIVAL_UTILIZATION);
  /* Each step adds a server or replaces a spot one, so this ends. */
  for (;;)
    {
      guint total = 0;
      for (guint i = 0; i < plan->n; i++)
        total += server_plan_total (&plan->domains[i]);
      guint exposed = plan->domains[most_exposed (plan)].wanted[SERVER_SPOT];
      if (total - exposed >= need || !add_survivor (plan))
        return;
    }
}

static gint
compare_price (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct server_plan_domain *domains = data;
  guint x = *(const guint *)a;
  guint y = *(const guint *)b;
  if (domains[x].price != domains[y].price)
    return domains[x].price < domains[y].price ? -1 : 1;
  return x < y ? -1 : x > y;
}

/* Fills in the wanted servers of the N DOMAINS of one service.  */
void
server_plan_make (const struct server_plan_limits *limits,
                  struct server_plan_domain *domains, guint n)
{
  struct plan plan = { .limits = limits,
                       .domains = domains,
                       .n = n,
                       .by_price = g_new (guint, n + 1),
                       .home = g_new (guint, n + 1) };
  double load = 0;
  guint lacking = 0;
  guint total = 0;
  guint replaced = 0;
  for (guint i = 0; i < n; i++)
    {
      plan.by_price[i] = i;
      load += domains[i].load;
      lacking += plan_home (limits, &domains[i], &replaced);
      plan.home[i] = server_plan_total (&domains[i]);
      total += plan.home[i];
    }
  g_qsort_with_data (plan.by_price, (gint)n, sizeof (guint), compare_price,
                     domains);
  if (n > 0)
    {
      guint reserved
          = servers_for (load * RESERVE_FACTOR, SERVER_PLAN_UTILIZATION);
      lacking = MAX (lacking, reserved - MIN (total, reserved));
      /* Where spot servers cannot be had, regular ones make up for them; spot
         ones elsewhere start in any case. */
      guint spot = add_extra (&plan, SERVER_SPOT, lacking + replaced);
      add_extra (&plan, SERVER_REGULAR, lacking - MIN (spot, lacking));
      ensure_survival (&plan, load);
    }
  g_free (plan.by_price);
  g_free (plan.home);
}
