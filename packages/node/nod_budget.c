/* Budgets per class at one entry: retries as a share of first tries, and
   bytes over the paid link between regions.  */
#include "node/nod_int.h"

#include <string.h>

#define RETRY_TOKENS_MAX 10.0 /* unused share that is kept */
#define RETRY_TOKENS_MIN 2.0  /* at the start; kept up at low traffic */
#define RETRY_TRICKLE_PER_S (1.0 / 30) /* retries, below that */
#define LINK_BURST_S 2.0 /* seconds of the link budget that are kept */

/* The class's link budget holds for a whole region; each of its entries
   takes an equal part.  */
static guint
entries_of_region (const struct nod *nod)
{
  guint domains = 0;
  for (guint i = 0; i < nod->cfg->n_domains; i++)
    if (strcmp (nod->cfg->domains[i].region.s, nod->region.s) == 0)
      domains++;
  guint live = member_live_count (nod->membership);
  return MAX (1, live * MAX (1, domains));
}

/* Gives every class the retries that it has before any first try.  */
void
nod_budget_init (struct nod *nod)
{
  nod->budget_at = clk_now (nod->clk);
  for (guint i = 0; i < CFG_CLASSES_MAX; i++)
    nod->budgets[i].retries = RETRY_TOKENS_MIN;
}

/* A class with few requests earns too little for a retry of its own.  */
static void
trickle_retries (struct nod_budget *budget, double seconds)
{
  if (budget->retries < RETRY_TOKENS_MIN)
    budget->retries += RETRY_TRICKLE_PER_S * seconds;
}

/* Refills the budgets for the time that has passed.  */
void
nod_budget_refill (struct nod *nod)
{
  gint64 now = clk_now (nod->clk);
  double seconds = (double)(now - nod->budget_at) / CLK_S;
  nod->budget_at = now;
  if (nod->cfg == NULL)
    return;
  guint entries = entries_of_region (nod);
  for (guint i = 0; i < nod->cfg->n_classes; i++)
    {
      double rate = (double)nod->cfg->classes[i].link_bytes_per_s / entries;
      double *left = &nod->budgets[i].link_bytes;
      trickle_retries (&nod->budgets[i], seconds);
      *left = MIN (*left + rate * seconds, rate * LINK_BURST_S);
    }
}

/* Counts a first try of the class, which earns its share of a retry.  */
void
nod_budget_first_try (struct nod *nod, guint class_index)
{
  double *tokens = &nod->budgets[class_index].retries;
  *tokens += nod->cfg->classes[class_index].retry_share;
  *tokens = MIN (*tokens, RETRY_TOKENS_MAX);
}

/* Takes one retry from the class's budget; FALSE if there is none.  */
gboolean
nod_budget_retry (struct nod *nod, guint class_index)
{
  double *tokens = &nod->budgets[class_index].retries;
  if (*tokens < 1.0)
    {
      ctr_add (nod->ctr, CTR_RETRY_DENIED, 1);
      return FALSE;
    }
  *tokens -= 1.0;
  return TRUE;
}

/* Whether the class may send more over the link between regions.  */
gboolean
nod_budget_may_cross (const struct nod *nod, guint class_index)
{
  return nod->budgets[class_index].link_bytes > 0.0;
}

/* Charges BYTES that crossed the link. The budget may fall below zero: what
   has begun is not cut off, but nothing new crosses until it has recovered.  */
void
nod_budget_charge_link (struct nod *nod, guint class_index, guint64 bytes)
{
  nod->budgets[class_index].link_bytes -= (double)bytes;
  ctr_add (nod->ctr, CTR_LINK_BYTES, bytes);
}
