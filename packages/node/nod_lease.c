/* Orders to the engines of the own failure domain. One instance, chosen by
   rendezvous hashing, tries to hold the failure domain's lease; only the
   lease makes its orders safe.

   After each acquisition the holder reads the configuration from the platform
   before its first order. No earlier holder can have ordered by a newer
   version, so that a change of holder never takes engines back to an older
   desired state.  */
#include "node/nod_int.h"
#include "base/jsb.h"

#include <string.h>

#define OWNED "orders" /* name under which the holder is chosen */
#define READ_RETRY_US (500 * CLK_MS)

G_STATIC_ASSERT (CFG_WANTS_MAX == ORD_WANTS_MAX);

static void
on_store (void *ctx, guint64 token, const struct sto_call *call)
{
  nod_store (ctx, NOD_CALLER_LEASE, token, call);
}

static void
on_call (void *ctx, guint64 token, const struct ord_call *call)
{
  struct nod *nod = ctx;
  int i = cfg_find_backend (nod->cfg, str_of (call->backend.s));
  g_return_if_fail (i >= 0);
  if (call->post)
    ctr_add (nod->ctr, CTR_ORDERS, 1);
  struct nod_action action = { .kind = NOD_DO_ORDER };
  action.order.token = token;
  action.order.backend = &nod->cfg->backends[i];
  action.order.call = call;
  nod->act (nod->ctx, &action);
}

/* Makes the lease and the sender of orders. Returns < 0 with ERR set if a
   state chart cannot be loaded.  */
int
nod_lease_init (struct nod *nod, const char *chart_folder, struct err *err)
{
  struct nod_lease *lease = &nod->lease;
  int code = lse_chart_load (chart_folder, &lease->lease_chart, err);
  if (code == 0)
    code = ord_chart_load (chart_folder, &lease->order_chart, err);
  if (code < 0)
    return code;
  char *object = g_strconcat ("lease/orders-", nod->domain.s, NULL);
  const struct lse_options lse_options = {
    .clk = nod->clk,
    .seed = g_rand_int (nod->rand),
    .chart = lease->lease_chart,
    .self = nod->self,
    .incarnation = nod->incarnation,
    .object = object,
    .store = on_store,
    .ctx = nod,
  };
  lease->lse = lse_new (&lse_options);
  g_free (object);
  const struct ord_options ord_options = {
    .clk = nod->clk,
    .seed = g_rand_int (nod->rand),
    .chart = lease->order_chart,
    .lse = lease->lse,
    .call = on_call,
    .ctx = nod,
  };
  lease->ord = ord_new (&ord_options);
  lease->ordered
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return 0;
}

void
nod_lease_free (struct nod *nod)
{
  struct nod_lease *lease = &nod->lease;
  g_clear_pointer (&lease->ordered, g_hash_table_unref);
  ord_free (lease->ord);
  lse_free (lease->lse);
  chr_free (lease->order_chart);
  chr_free (lease->lease_chart);
}

struct wants
{
  struct ord_want list[ORD_WANTS_MAX];
  guint n;
};

static void
add_want (struct wants *wants, enum ord_kind kind, const char *name)
{
  struct ord_want *want = &wants->list[wants->n++];
  want->kind = kind;
  str_id_set (&want->name, str_of (name));
}

static void
add_list (struct wants *wants, enum ord_kind kind, char *const *names)
{
  for (; names != NULL && *names != NULL; names++)
    add_want (wants, kind, *names);
}

/* Fills WANTS with what BACKEND should have: nothing if it is of another
   failure domain.  */
static void
get_wants (const struct nod *nod, const struct cfg_backend *backend,
           struct wants *wants)
{
  wants->n = 0;
  if (strcmp (nod->cfg->domains[backend->domain].name.s, nod->domain.s) != 0)
    return;
  add_list (wants, ORD_LOAD_MODEL, backend->models);
  add_list (wants, ORD_LOAD_ADAPTER, backend->adapters);
  if (backend->version.s[0] != '\0')
    add_want (wants, ORD_LOAD_VERSION, backend->version.s);
  if (backend->role != CFG_ROLE_UNSET)
    add_want (wants, ORD_SET_ROLE, cfg_role_name (backend->role));
}

static void
forget_all (struct nod_lease *lease)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, lease->ordered);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      ord_forget (lease->ord, name);
      g_hash_table_iter_remove (&iter);
    }
}

static void
forget_backend (struct nod_lease *lease, const char *name)
{
  ord_forget (lease->ord, name);
  g_hash_table_remove (lease->ordered, name);
}

/* Forgets the engines that left the configuration.  */
static void
forget_gone (struct nod *nod)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, nod->lease.ordered);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (cfg_find_backend (nod->cfg, str_of (name)) < 0)
      {
        ord_forget (nod->lease.ord, name);
        g_hash_table_iter_remove (&iter);
      }
}

static void
set_wants (struct nod *nod, const struct cfg_backend *backend,
           const struct wants *wants)
{
  struct nod_lease *lease = &nod->lease;
  if (wants->n == 0)
    {
      forget_backend (lease, backend->name.s);
      return;
    }
  g_hash_table_add (lease->ordered, g_strdup (backend->name.s));
  ord_set (lease->ord, backend->name.s, backend->checks_fence, wants->list,
           wants->n);
}

/* Takes over the desired state of the configuration in force.  */
void
nod_lease_config (struct nod *nod)
{
  struct nod_lease *lease = &nod->lease;
  struct wants wants;
  lease->needed = FALSE;
  forget_gone (nod);
  for (guint i = 0; i < nod->cfg->n_backends; i++)
    {
      get_wants (nod, &nod->cfg->backends[i], &wants);
      lease->needed |= wants.n > 0;
      if (lease->confirmed)
        set_wants (nod, &nod->cfg->backends[i], &wants);
    }
}

/* Notes a new acquisition: nothing is ordered under its number before the
   configuration is confirmed.  */
static void
note_acquisition (struct nod_lease *lease)
{
  guint64 fence = lse_order_fence (lease->lse, TRUE);
  if (fence == 0 || fence == lease->fence)
    return;
  lease->fence = fence;
  lease->confirmed = FALSE;
  lease->reading = FALSE;
  lease->read_at = 0;
  forget_all (lease);
}

static void
read_config (struct nod *nod)
{
  struct sto_call call = { .op = STO_GET, .timeout_us = LSE_CALL_US };
  g_strlcpy (call.name, "config", sizeof call.name);
  nod->lease.reading = TRUE;
  nod_store (nod, NOD_CALLER_HOLDER, nod->lease.fence, &call);
}

/* Takes the configuration that was read after the acquisition of FENCE.  */
void
nod_lease_take_config (struct nod *nod, guint64 fence,
                       const struct sto_answer *answer)
{
  struct nod_lease *lease = &nod->lease;
  if (fence != lease->fence || lease->confirmed)
    return;
  lease->reading = FALSE;
  if (answer->code != 0)
    {
      lease->read_at = clk_now (nod->clk) + READ_RETRY_US;
      return;
    }
  struct msg_object_body body = { .version = answer->version };
  str_id_set (&body.object, STR_LIT ("config"));
  body.body.p = g_bytes_get_data (answer->body, &body.body.n);
  nod_config_body (nod, &body);
  lease->confirmed = TRUE;
  nod_lease_config (nod);
}

/* Takes the platform's answer to a call for the lease.  */
void
nod_lease_answer (struct nod *nod, guint64 token,
                  const struct sto_answer *answer)
{
  lse_answer (nod->lease.lse, token, answer);
}

/* Takes an engine's answer.  */
void
nod_lease_order_answer (struct nod *nod, guint64 token,
                        const struct ord_answer *answer)
{
  if (answer->code == ERR_CONFLICT)
    ctr_add (nod->ctr, CTR_ORDER_CONFLICTS, 1);
  else if (answer->code != 0)
    ctr_add (nod->ctr, CTR_ORDER_ERRORS, 1);
  note_acquisition (&nod->lease);
  ord_answer (nod->lease.ord, token, answer);
}

static gboolean
should_hold (const struct nod *nod)
{
  if (!nod->lease.needed || nod->leaving
      || clk_now (nod->clk) - nod->started < NOD_GATHER_US)
    return FALSE;
  const struct member_instance *owner
      = member_owner (nod->membership, STR_LIT (OWNED), 0);
  return owner != NULL && strcmp (owner->id.s, nod->self.s) == 0;
}

/* Runs the timers of the lease and of the orders.  */
void
nod_lease_tick (struct nod *nod)
{
  struct nod_lease *lease = &nod->lease;
  gint64 now = clk_now (nod->clk);
  if (now < lease->tick_at)
    return;
  lease->tick_at = now + MIN (LSE_TICK_US, ORD_TICK_US);
  lse_want (lease->lse, should_hold (nod));
  note_acquisition (lease);
  if (lse_order_fence (lease->lse, TRUE) == 0)
    return;
  if (lease->confirmed)
    ord_tick (lease->ord);
  else if (!lease->reading && now >= lease->read_at)
    read_config (nod);
}

/* Adds the lease and the engines that get orders from here to JSON.  */
void
nod_lease_dump (const struct nod *nod, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "lease");
  lse_dump (nod->lease.lse, json);
  jsb_bool (json, "confirmed", nod->lease.confirmed);
  json_builder_set_member_name (json, "engines");
  ord_dump (nod->lease.ord, json);
  json_builder_end_object (json);
}
