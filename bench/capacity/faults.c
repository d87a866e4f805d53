/* What the nodes do when an owner, a failure domain or the platform is lost,
   and at a cold start.  */
#include "capacity/cap.h"
#include "capacity/fit.h"
#include "capacity/fleet.h"

#include <string.h>

#define RATE 5.0 /* requests a second and node */
#define ANSWER_TOKENS 320
#define SETTLE_US (15 * CLK_S)
#define AFTER_S 12
#define STEP_US (20 * CLK_MS)
#define COLD_MAX_US (60 * CLK_S)

static guint64
sum_of (const struct fleet *fleet, enum counter_id id)
{
  guint64 sum = 0;
  for (guint i = 0; i < fleet->n; i++)
    sum += fleet->nodes[i].counter_set.v[id];
  return sum;
}

static guint64
messages (const struct fleet *fleet)
{
  guint64 sum = 0;
  for (guint i = 0; i < fleet->n; i++)
    sum += fleet->nodes[i].out.messages;
  return sum;
}

static struct fleet *
start (guint domains, guint per_domain, guint backends)
{
  const struct fleet_options options = {
    .gen = { domains, backends * domains, TARGET_TEAMS },
    .per_domain = per_domain,
  };
  struct fleet *fleet = fleet_new (&options);
  fleet_run (fleet, 5 * CLK_S);
  fleet_load (fleet, RATE, ANSWER_TOKENS);
  fleet_run (fleet, SETTLE_US);
  fleet_reset (fleet);
  fleet_run (fleet, AFTER_S * CLK_S);
  return fleet;
}

static guint
owner_of_first_cell (const struct fleet *fleet)
{
  const struct core *core = fleet->nodes[0].core;
  const char *cell = core_config (core)->shards[0].name.s;
  const struct member_instance *owner
      = member_owner (core_members (core), str_of (cell), 0);
  for (guint i = 0; i < fleet->n; i++)
    if (strcmp (fleet->nodes[i].id.s, owner->id.s) == 0)
      return i;
  return 0;
}

/* Runs on until AFTER_S after a fault and notes when the last ticket was
   offered again.  */
static gint64
watch_reoffers (struct fleet *fleet)
{
  gint64 start_us = fleet->queue.clk.t;
  gint64 last = 0;
  guint64 seen = 0;
  while (fleet->queue.clk.t < start_us + AFTER_S * CLK_S)
    {
      fleet_run (fleet, STEP_US);
      guint64 now = sum_of (fleet, COUNTER_REENQUEUED);
      if (now > seen)
        last = fleet->queue.clk.t - start_us;
      seen = now;
    }
  return last;
}

static void
print_recovery (struct fleet *fleet, const char *name, guint size,
                guint64 quiet, gint64 last, struct fit *fit)
{
  char *base = g_strdup_printf ("%s_%u", name, size);
  double reoffers = (double)sum_of (fleet, COUNTER_REENQUEUED);
  g_print ("%s_time %.4g ms\n", base, (double)last / CLK_MS);
  g_print ("%s_reoffers %.4g tickets\n", base, reoffers);
  g_print ("%s_messages_before %.4g messages\n", base, (double)quiet);
  g_print ("%s_messages_after %.4g messages\n", base, (double)messages (fleet));
  g_print ("%s_refused %.4g requests\n", base, (double)fleet->failed);
  fit_add (fit, size, reoffers);
  g_free (base);
}

/* The owner of a cell goes; CRASH: its connections end at once.  */
static void
lose_owner (guint nodes, gboolean crash, const char *name, struct fit *fit)
{
  struct fleet *fleet = start (1, nodes, 2 * nodes);
  guint64 quiet = messages (fleet);
  guint owner = owner_of_first_cell (fleet);
  fleet_reset (fleet);
  fleet_kill (fleet, owner, crash);
  gint64 last = watch_reoffers (fleet);
  print_recovery (fleet, name, nodes, quiet, last, fit);
  fleet_free (fleet);
}

/* Time until no survivor takes an instance of domain 0 as live.  */
static gint64
forget_domain (struct fleet *fleet)
{
  gint64 start_us = fleet->queue.clk.t;
  gboolean known = TRUE;
  while (known && fleet->queue.clk.t < start_us + COLD_MAX_US)
    {
      fleet_run (fleet, STEP_US);
      known = FALSE;
      for (guint i = 0; i < fleet->n && !known; i++)
        for (guint k = 0; k < fleet->n && !known; k++)
          {
            if (fleet->nodes[i].core == NULL || fleet->nodes[k].core != NULL)
              continue;
            const struct member_instance *at = member_find (
                core_members (fleet->nodes[i].core), fleet->nodes[k].id.s);
            known = at != NULL && at->live;
          }
    }
  return fleet->queue.clk.t - start_us;
}

/* All nodes of failure domain 0 go without a word.  */
static void
lose_domain (guint per_domain, struct fit *fit)
{
  struct fleet *fleet = start (4, per_domain, 2 * per_domain);
  guint64 quiet = messages (fleet);
  guint lost = 0;
  for (guint i = 0; i < fleet->n; i++)
    if (fleet->nodes[i].domain == 0)
      lost += core_in_progress (fleet->nodes[i].core);
  for (guint i = 0; i < fleet->n; i++)
    if (fleet->nodes[i].domain == 0)
      fleet_kill (fleet, i, FALSE);
  fleet_reset (fleet);
  out_at ("lose_domain_requests_lost", per_domain, lost, "requests");
  out_at ("lose_domain_seen", per_domain,
          (double)forget_domain (fleet) / CLK_MS, "ms");
  gint64 last = watch_reoffers (fleet);
  print_recovery (fleet, "lose_domain", per_domain, quiet, last, fit);
  fleet_free (fleet);
}

/* Domain 0 starts anew with the platform down.  */
static void
cold_start (guint per_domain, gboolean peers, const char *name)
{
  const struct fleet_options options = {
    .gen = { peers ? 4 : 1, 60 * (peers ? 4 : 1), TARGET_TEAMS },
    .per_domain = per_domain,
  };
  struct fleet *fleet = fleet_new (&options);
  fleet->platform.down = !peers;
  fleet_run (fleet, SETTLE_US);
  fleet->platform.down = TRUE;
  for (guint i = 0; peers && i < fleet->n; i++)
    if (fleet->nodes[i].domain == 0)
      fleet_kill (fleet, i, TRUE);
  guint others = fleet_ready (fleet);
  fleet_reset (fleet);
  for (guint i = 0; peers && i < fleet->n; i++)
    if (fleet->nodes[i].domain == 0)
      fleet_start (fleet, i);
  gint64 begin = fleet->queue.clk.t;
  while (fleet_ready (fleet) - others < per_domain
         && fleet->queue.clk.t < begin + COLD_MAX_US)
    fleet_run (fleet, STEP_US);
  char *ready = g_strdup_printf ("%s_ready", name);
  char *time = g_strdup_printf ("%s_time", name);
  out_at (ready, per_domain, fleet_ready (fleet) - others, "nodes");
  out_at (time, per_domain, (double)(fleet->queue.clk.t - begin) / CLK_MS,
          "ms");
  g_free (ready);
  g_free (time);
  guint64 most = 0;
  for (guint i = 0; i < fleet->n; i++)
    most = MAX (most, fleet->nodes[i].kind_bytes[MSG_OBJECT_BODY]);
  char *sent = g_strdup_printf ("%s_most_sent", name);
  out_at (sent, per_domain, (double)most, "bytes");
  g_free (sent);
  fleet_free (fleet);
}

void
faults_run (void)
{
  static const guint nodes[] = { 5, 10, 20, 36 };
  static const guint domains[] = { 4, 8, 16 };
  struct fit crash = { 0 }, silent = { 0 }, domain = { 0 };
  for (guint i = 0; i < G_N_ELEMENTS (nodes); i++)
    lose_owner (nodes[i], TRUE, "lose_owner_crash", &crash);
  fit_print (&crash, "lose_owner_crash_reoffers", "tickets", "node",
             TARGET_DOMAIN_NODES);
  for (guint i = 0; i < G_N_ELEMENTS (nodes); i++)
    lose_owner (nodes[i], FALSE, "lose_owner_silent", &silent);
  fit_print (&silent, "lose_owner_silent_reoffers", "tickets", "node",
             TARGET_DOMAIN_NODES);
  for (guint i = 0; i < G_N_ELEMENTS (domains); i++)
    lose_domain (domains[i], &domain);
  fit_print (&domain, "lose_domain_reoffers", "tickets", "node",
             TARGET_DOMAIN_NODES);
  cold_start (5, FALSE, "cold_no_config");
  cold_start (TARGET_DOMAIN_NODES, FALSE, "cold_no_config");
  cold_start (5, TRUE, "cold_peers");
  cold_start (10, TRUE, "cold_peers");
  cold_start (20, TRUE, "cold_peers");
  cold_start (TARGET_DOMAIN_NODES, TRUE, "cold_peers");
}
