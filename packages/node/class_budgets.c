/* Budgets of each class at this instance: retries, as a share of first
   attempts, and bytes over the paid link between regions.  */
#include "node/core_internal.h"

#include <string.h>

#define RETRY_TOKENS_MAX 10.0          /* unused retries that are kept */
#define RETRY_TOKENS_MIN 2.0           /* at the start and at low traffic */
#define RETRY_TRICKLE_PER_S (1.0 / 30) /* retries while below the minimum */
#define LINK_BURST_S 2.0               /* seconds of unused link budget kept */

/* Returns the estimated number of instances that receive requests in this
   region. A class's link budget covers the complete region, and each of them
   uses an equal share.  */
static guint
ingresses_in_region (const struct core *core)
{
  guint domains = 0;
  for (guint i = 0; i < core->cfg->n_domains; i++)
    if (strcmp (core->cfg->domains[i].region.s, core->region.s) == 0)
      domains++;
  guint live = member_live_count (core->membership);
  return MAX (1, live * MAX (1, domains));
}

/* Gives every class its initial retries.  */
void
core_budget_init (struct core *core)
{
  core->budgets_at = clk_now (core->clk);
  for (guint i = 0; i < CLUSTER_CLASSES_MAX; i++)
    core->budgets[i].retries = RETRY_TOKENS_MIN;
}

/* Adds retries at a fixed rate while the budget is low: a class with few
   requests would not earn a single retry from its share.  */
static void
refill_low_retries (struct core_budget *budget, double seconds)
{
  if (budget->retries < RETRY_TOKENS_MIN)
    budget->retries += RETRY_TRICKLE_PER_S * seconds;
}

/* Refills the budgets for the time that has passed.  */
void
core_budget_refill (struct core *core)
{
  gint64 now = clk_now (core->clk);
  double seconds = (double)(now - core->budgets_at) / CLK_S;
  core->budgets_at = now;
  if (core->cfg == NULL)
    return;
  guint ingresses = ingresses_in_region (core);
  for (guint i = 0; i < core->cfg->n_classes; i++)
    {
      double rate = (double)core->cfg->classes[i].link_bytes_per_s / ingresses;
      double *left = &core->budgets[i].link_bytes;
      refill_low_retries (&core->budgets[i], seconds);
      *left = MIN (*left + rate * seconds, rate * LINK_BURST_S);
    }
}

/* Counts a first attempt of the class, which earns a fraction of a retry.  */
void
core_budget_first_attempt (struct core *core, guint class_index)
{
  double *tokens = &core->budgets[class_index].retries;
  *tokens += core->cfg->classes[class_index].retry_share;
  *tokens = MIN (*tokens, RETRY_TOKENS_MAX);
}

/* Takes one retry from the class's budget. Returns FALSE if there is none.  */
gboolean
core_budget_retry (struct core *core, guint class_index)
{
  double *tokens = &core->budgets[class_index].retries;
  if (*tokens < 1.0)
    {
      counter_add (core->counter_set, COUNTER_RETRY_DENIED, 1);
      return FALSE;
    }
  *tokens -= 1.0;
  return TRUE;
}

/* Whether the class may send more over the link between regions.  */
gboolean
core_budget_may_cross (const struct core *core, guint class_index)
{
  return core->budgets[class_index].link_bytes > 0.0;
}

/* Charges BYTES that crossed the link. The budget may become negative:
   attempts in progress are not interrupted, but no new one crosses the link
   until the budget is positive again.  */
void
core_budget_charge_link (struct core *core, guint class_index, guint64 bytes)
{
  core->budgets[class_index].link_bytes -= (double)bytes;
  counter_add (core->counter_set, COUNTER_LINK_BYTES, bytes);
}
