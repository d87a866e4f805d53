/* The configuration in force at this instance.  */
#include "node/nod_int.h"

#define CONFIG_READ_US (1 * CLK_S) /* between reads without a version */

void
nod_config_init (struct nod *nod)
{
  nod->config_at = clk_now (nod->clk);
}

void
nod_config_free (struct nod *nod)
{
  (void)nod;
}

/* Takes over CFG if it is newer than what is in force. Returns whether it
   did; versions never go back.  */
gboolean
nod_set_config (struct nod *nod, struct cfg *cfg)
{
  if (nod->cfg != NULL && cfg->version <= nod->cfg->version)
    {
      ctr_add (nod->ctr, CTR_CONFIG_STALE, 1);
      return FALSE;
    }
  cfg_unref (nod->cfg);
  nod->cfg = cfg_ref (cfg);
  ctr_add (nod->ctr, CTR_CONFIG_APPLIED, 1);
  nod_cell_config (nod);
  nod_req_view_changed (nod, NULL);
  struct nod_action action = { .kind = NOD_DO_CONFIG };
  action.config = nod->cfg;
  nod->act (nod->ctx, &action);
  return TRUE;
}

void
nod_config_tick (struct nod *nod)
{
  gint64 now = clk_now (nod->clk);
  if (now < nod->config_at)
    return;
  nod->config_at = now + CONFIG_READ_US;
  struct sto_call call = { .op = STO_GET, .timeout_us = CONFIG_READ_US };
  g_strlcpy (call.name, "config", sizeof call.name);
  nod_store (nod, NOD_CALLER_OBJECT, 0, &call);
}

void
nod_config_answer (struct nod *nod, guint object, guint64 token,
                   const struct sto_answer *answer)
{
  (void)object;
  (void)token;
  if (answer->code != 0)
    return;
  if (nod->cfg != NULL && answer->version <= nod->cfg->version)
    return;
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  struct cfg *cfg = cfg_parse (answer->body, answer->version, problems);
  if (cfg != NULL)
    nod_set_config (nod, cfg);
  else
    ctr_add (nod->ctr, CTR_CONFIG_REJECTED, 1);
  cfg_unref (cfg);
  g_ptr_array_unref (problems);
}

void
nod_config_ask (struct nod *nod, const char *from,
                const struct msg_object_ask *ask)
{
  (void)nod;
  (void)from;
  (void)ask;
}

void
nod_config_body (struct nod *nod, const char *from,
                 const struct msg_object_body *body)
{
  (void)nod;
  (void)from;
  (void)body;
}

void
nod_config_peer (struct nod *nod, const char *from,
                 const struct msg_heartbeat *heartbeat)
{
  (void)nod;
  (void)from;
  (void)heartbeat;
}
