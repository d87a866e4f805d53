/* Orders to the engines of this failure domain: calls that load models,
   adapters or versions and set roles. One instance, chosen by rendezvous
   hashing, tries to hold the failure domain's lease. Several instances may
   consider themselves chosen for a while; only the lease makes sure that a
   single one sends orders.

   After each acquisition the holder reads the configuration from the platform
   before its first order. No earlier holder can have used a newer version, so
   a change of holder never returns engines to an older desired state.  */
#include "node/core_internal.h"
#include "base/json_add.h"

#include <string.h>

#define HOLDER_KEY "orders" /* hashed to choose the holder */
#define READ_RETRY_US (500 * CLK_MS)

G_STATIC_ASSERT (CLUSTER_DESIRED_MAX == RECONCILER_TARGETS_MAX);

static void
start_store_call (void *ctx, guint64 token, const struct storage_request *call)
{
  core_start_store_call (ctx, CORE_ORIGIN_LEASE, token, call);
}

static void
start_order_call (void *ctx, guint64 token,
                  const struct reconciler_request *call)
{
  struct core *core = ctx;
  int i = cluster_find_backend (core->cfg, str_of (call->backend.s));
  g_return_if_fail (i >= 0);
  if (call->post)
    counter_add (core->counter_set, COUNTER_ORDERS, 1);
  struct core_action action = { .kind = CORE_DO_ORDER };
  action.order.token = token;
  action.order.backend = &core->cfg->backends[i];
  action.order.call = call;
  core->act (core->ctx, &action);
}

/* Creates the lease and the order sender. Returns < 0 with ERR set if a state
   chart cannot be loaded.  */
int
core_lease_init (struct core *core, const char *chart_folder, struct err *err)
{
  struct core_lease *lease = &core->lease;
  int code = lease_chart_load (chart_folder, &lease->lease_chart, err);
  if (code == 0)
    code = reconciler_chart_load (chart_folder, &lease->order_chart, err);
  if (code < 0)
    return code;
  char *object = g_strconcat ("lease/orders-", core->domain.s, NULL);
  const struct lease_options lease_options = {
    .clk = core->clk,
    .seed = g_rand_int (core->rand),
    .chart = lease->lease_chart,
    .self = core->self,
    .incarnation = core->incarnation,
    .object = object,
    .start_request = start_store_call,
    .ctx = core,
  };
  lease->lease_lock = lease_new (&lease_options);
  g_free (object);
  const struct reconciler_options reconciler_options = {
    .clk = core->clk,
    .seed = g_rand_int (core->rand),
    .chart = lease->order_chart,
    .lease_lock = lease->lease_lock,
    .start_request = start_order_call,
    .ctx = core,
  };
  lease->reconciler = reconciler_new (&reconciler_options);
  lease->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return 0;
}

void
core_lease_free (struct core *core)
{
  struct core_lease *lease = &core->lease;
  g_clear_pointer (&lease->engines, g_hash_table_unref);
  reconciler_free (lease->reconciler);
  lease_free (lease->lease_lock);
  statechart_free (lease->order_chart);
  statechart_free (lease->lease_chart);
}

struct desired_state
{
  struct reconciler_target list[RECONCILER_TARGETS_MAX];
  guint n;
};

static void
add_target (struct desired_state *desired, enum reconciler_kind kind,
            const char *name)
{
  struct reconciler_target *target = &desired->list[desired->n++];
  target->kind = kind;
  str_id_set (&target->name, str_of (name));
}

static void
add_targets (struct desired_state *desired, enum reconciler_kind kind,
             char *const *names)
{
  for (; names != NULL && *names != NULL; names++)
    add_target (desired, kind, *names);
}

/* Fills DESIRED with the configured state of BACKEND; it stays empty for
   engines of other failure domains.  */
static void
fill_desired_state (const struct core *core,
                    const struct cluster_backend *backend,
                    struct desired_state *desired)
{
  desired->n = 0;
  if (strcmp (core->cfg->domains[backend->domain].name.s, core->domain.s) != 0)
    return;
  add_targets (desired, RECONCILER_LOAD_MODEL, backend->models);
  add_targets (desired, RECONCILER_LOAD_ADAPTER, backend->adapters);
  if (backend->version.s[0] != '\0')
    add_target (desired, RECONCILER_LOAD_VERSION, backend->version.s);
  if (backend->role != CLUSTER_ROLE_UNSET)
    add_target (desired, RECONCILER_SET_ROLE,
                cluster_role_name (backend->role));
}

static void
forget_all (struct core_lease *lease)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, lease->engines);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      reconciler_remove (lease->reconciler, name);
      g_hash_table_iter_remove (&iter);
    }
}

static void
forget_backend (struct core_lease *lease, const char *name)
{
  reconciler_remove (lease->reconciler, name);
  g_hash_table_remove (lease->engines, name);
}

/* Forgets the engines that are no longer in the configuration.  */
static void
forget_removed (struct core *core)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, core->lease.engines);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (cluster_find_backend (core->cfg, str_of (name)) < 0)
      {
        reconciler_remove (core->lease.reconciler, name);
        g_hash_table_iter_remove (&iter);
      }
}

static void
set_desired_state (struct core *core, const struct cluster_backend *backend,
                   const struct desired_state *desired)
{
  struct core_lease *lease = &core->lease;
  if (desired->n == 0)
    {
      forget_backend (lease, backend->name.s);
      return;
    }
  g_hash_table_add (lease->engines, g_strdup (backend->name.s));
  reconciler_set_targets (lease->reconciler, backend->name.s,
                          backend->checks_fence, desired->list, desired->n);
}

/* Applies the desired state of the configuration in force.  */
void
core_lease_config (struct core *core)
{
  struct core_lease *lease = &core->lease;
  struct desired_state desired;
  lease->has_desired_state = FALSE;
  forget_removed (core);
  for (guint i = 0; i < core->cfg->n_backends; i++)
    {
      fill_desired_state (core, &core->cfg->backends[i], &desired);
      lease->has_desired_state |= desired.n > 0;
      if (lease->config_confirmed)
        set_desired_state (core, &core->cfg->backends[i], &desired);
    }
}

/* Detects a new acquisition of the lease. No order is sent with its fencing
   number before the configuration has been read again.  */
static void
detect_acquisition (struct core_lease *lease)
{
  guint64 fence = lease_order_fence (lease->lease_lock, TRUE);
  if (fence == 0 || fence == lease->fence)
    return;
  lease->fence = fence;
  lease->config_confirmed = FALSE;
  lease->config_reading = FALSE;
  lease->config_read_at = 0;
  forget_all (lease);
}

static void
read_config (struct core *core)
{
  struct storage_request call
      = { .op = STORAGE_GET, .timeout_us = LEASE_STORE_TIMEOUT_US };
  g_strlcpy (call.name, "config", sizeof call.name);
  core->lease.config_reading = TRUE;
  core_start_store_call (core, CORE_ORIGIN_HOLDER, core->lease.fence, &call);
}

/* Handles the response to the read of the configuration that was started
   after the acquisition with number FENCE.  */
void
core_lease_config_read (struct core *core, guint64 fence,
                        const struct storage_response *response)
{
  struct core_lease *lease = &core->lease;
  if (fence != lease->fence || lease->config_confirmed)
    return;
  lease->config_reading = FALSE;
  if (response->code != 0)
    {
      lease->config_read_at = clk_now (core->clk) + READ_RETRY_US;
      return;
    }
  struct msg_object_body body = { .version = response->version };
  str_id_set (&body.object, STR_LIT ("config"));
  body.body.p = g_bytes_get_data (response->body, &body.body.n);
  core_object_received (core, &body);
  lease->config_confirmed = TRUE;
  core_lease_config (core);
}

/* Handles the store's response to a call of the lease.  */
void
core_lease_store_response (struct core *core, guint64 token,
                           const struct storage_response *response)
{
  lease_store_response (core->lease.lease_lock, token, response);
}

/* Handles an engine's response to an order call.  */
void
core_lease_order_response (struct core *core, guint64 token,
                           const struct reconciler_response *response)
{
  if (response->code == ERR_CONFLICT)
    counter_add (core->counter_set, COUNTER_ORDER_CONFLICTS, 1);
  else if (response->code != 0)
    counter_add (core->counter_set, COUNTER_ORDER_ERRORS, 1);
  detect_acquisition (&core->lease);
  reconciler_response (core->lease.reconciler, token, response);
}

static gboolean
should_hold_lease (const struct core *core)
{
  if (!core->lease.has_desired_state || core->leaving
      || clk_now (core->clk) - core->started < CORE_DISCOVERY_US)
    return FALSE;
  const struct member_instance *owner
      = member_owner (core->membership, STR_LIT (HOLDER_KEY), 0);
  return owner != NULL && strcmp (owner->id.s, core->self.s) == 0;
}

/* Runs the timers of the lease and of the orders.  */
void
core_lease_tick (struct core *core)
{
  struct core_lease *lease = &core->lease;
  gint64 now = clk_now (core->clk);
  if (now < lease->tick_at)
    return;
  lease->tick_at = now + MIN (LEASE_TICK_US, RECONCILER_TICK_US);
  lease_want (lease->lease_lock, should_hold_lease (core));
  detect_acquisition (lease);
  if (lease_order_fence (lease->lease_lock, TRUE) == 0)
    return;
  if (lease->config_confirmed)
    reconciler_tick (lease->reconciler);
  else if (!lease->config_reading && now >= lease->config_read_at)
    read_config (core);
}

/* Adds the lease and the engines that receive orders from this instance to
   JSON.  */
void
core_lease_dump (const struct core *core, JsonBuilder *json)
{
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "lease");
  lease_dump (core->lease.lease_lock, json);
  json_add_bool (json, "confirmed", core->lease.config_confirmed);
  json_builder_set_member_name (json, "engines");
  reconciler_dump (core->lease.reconciler, json);
  json_builder_end_object (json);
}
