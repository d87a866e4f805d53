/* Orders to engines through real processes. The desired state of the
   configuration reaches engines that check fencing numbers and engines that
   ignore them, also if the lease holder is paused until its lease has expired
   and is then resumed. No orders are sent after the lease has expired. The
   orders that the engines received are read from their histories.  */
#include "harness/deployment.h"
#include "unit/unit.h"

#include <signal.h>
#include <string.h>

#define SETTLE_TIMEOUT_MS (3 * HARNESS_TIMEOUT_MS)
/* The lease holder reads a settled engine's state again within this time
   (RECONCILER_REREAD_US is 30 s).  */
#define ENGINE_REREAD_US (32 * G_USEC_PER_SEC)
#define TEST_ID "test-1" /* id of the orders that this test sends */

static const struct deployment_options options = {
  .domains = { { "kgn-1", "kgn", 2, 2, 0 } },
  .mixed_fences = TRUE,
};

static struct harness *harness;
static struct deployment *deployment;
static const char *desired_role; /* in the platform's configuration */
static guint lease_holder;       /* instance that held the lease when paused */
static gint64 settled_at; /* when all engines had the role; monotonic us */

static int
start (void)
{
  harness = harness_new ();
  deployment = deployment_start (harness, &options);
  return deployment == NULL;
}

static int
stop (void)
{
  if (CU_get_number_of_failure_records () > 0)
    harness_explain (harness);
  deployment_free (deployment);
  harness_free (harness);
  return 0;
}

/* Writes a configuration with NEW_ROLE and the model m1 for all engines to the
   platform.  */
static void
set_desired_role (const char *new_role)
{
  GString *text = g_string_new (NULL);
  char *base = deployment_config (deployment, "ordinary");
  char *lines
      = g_strdup_printf ("pool=assistant\nmodels=m1\nrole=%s\n", new_role);
  struct harness_request call
      = { .port = deployment->platform->port, .path = "/objects/config" };
  struct harness_response *reply = harness_request (&call);
  const char *const headers[]
      = { "If-Match", g_hash_table_lookup (reply->headers, "etag"), NULL };
  desired_role = new_role;
  g_string_assign (text, base);
  g_string_replace (text, "pool=assistant\n", lines, 0);
  call.method = "PUT";
  call.headers = headers;
  call.body = text->str;
  struct harness_response *written = harness_request (&call);
  CU_ASSERT_EQUAL (written->status, 200);
  harness_response_free (written);
  harness_response_free (reply);
  g_string_free (text, TRUE);
  g_free (lines);
  g_free (base);
}

/* Returns the JSON object in the response of PORT to GET PATH, freed by
   json_node_unref, or NULL if there is none.  */
static JsonNode *
get_json (int port, const char *path)
{
  const char *const headers[]
      = { "Authorization", DEPLOYMENT_OPERATOR_BEARER, NULL };
  const struct harness_request call
      = { .port = port, .path = path, .headers = headers };
  struct harness_response *reply = harness_request (&call);
  JsonNode *root = harness_response_json (reply);
  harness_response_free (reply);
  if (root != NULL && !JSON_NODE_HOLDS_OBJECT (root))
    g_clear_pointer (&root, json_node_unref);
  return root;
}

/* Returns whether engine I has the desired role and model m1.  */
static gboolean
engine_is_settled (guint i)
{
  JsonNode *root = get_json (deployment->engines[i].proc->port, "/orders");
  JsonObject *object = root ? json_node_get_object (root) : NULL;
  JsonArray *models
      = object ? json_object_get_array_member (object, "models") : NULL;
  gboolean loaded = FALSE;
  for (guint m = 0; models != NULL && m < json_array_get_length (models); m++)
    loaded |= strcmp (json_array_get_string_element (models, m), "m1") == 0;
  gboolean ok
      = loaded
        && strcmp (json_object_get_string_member (object, "role"), desired_role)
               == 0;
  g_clear_pointer (&root, json_node_unref);
  return ok;
}

static gboolean
all_settled (void *ctx)
{
  (void)ctx;
  for (guint i = 0; i < deployment->n_engines; i++)
    if (!engine_is_settled (i))
      return FALSE;
  return TRUE;
}

static void
wait_until_settled (void)
{
  CU_ASSERT_TRUE (harness_wait_until (all_settled, NULL, SETTLE_TIMEOUT_MS));
  settled_at = g_get_monotonic_time ();
}

/* Returns whether ENGINES, from an instance's dump, has all engines and reports
   each of them as settled.  */
static gboolean
all_reported_settled (JsonArray *engines)
{
  gboolean settled = json_array_get_length (engines) == deployment->n_engines;
  for (guint i = 0; i < json_array_get_length (engines); i++)
    settled &= json_object_get_boolean_member (
        json_array_get_object_element (engines, i), "settled");
  return settled;
}

/* Returns whether instance I reports that it holds the lease and, if SETTLED,
   that it has seen all engines in the desired state.  */
static gboolean
reports_lease (guint i, gboolean settled)
{
  JsonNode *root
      = get_json (deployment->instances[i].proc->admin_port, "/dump");
  CU_ASSERT_PTR_NOT_NULL_FATAL (root);
  JsonObject *node
      = json_object_get_object_member (json_node_get_object (root), "node");
  JsonObject *orders = json_object_get_object_member (node, "orders");
  JsonObject *lease = json_object_get_object_member (orders, "lease");
  gboolean held
      = strcmp (json_object_get_string_member (lease, "state"), "held") == 0
        && (!settled
            || all_reported_settled (
                json_object_get_array_member (orders, "engines")));
  json_node_unref (root);
  return held;
}

/* Returns the instance that reports that it holds the lease, or -1.  */
static int
find_holder (void)
{
  for (guint i = 0; i < deployment->n_instances; i++)
    if (reports_lease (i, FALSE))
      return (int)i;
  return -1;
}

static gboolean
is_settled_holder (void *ctx)
{
  return reports_lease (*(guint *)ctx, TRUE);
}

static gboolean
no_lease_holder (void *ctx)
{
  (void)ctx;
  return find_holder () < 0;
}

struct order
{
  const char *kind; /* borrowed from the history */
  const char *id;
  guint64 fence;
};

/* Calls VISIT for each order in the history of engine I.  */
static void
for_each_order (guint i, void (*visit) (void *ctx, const struct order *order),
                void *ctx)
{
  char *path = g_strdup_printf ("%s/%s.history", harness_dir (harness),
                                deployment->engines[i].name);
  char *text = NULL;
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &text, NULL, NULL));
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      JsonNode *root = json_from_string (*line, NULL);
      JsonObject *o = root ? json_node_get_object (root) : NULL;
      const char *kind = o ? json_object_get_string_member (o, "kind") : "";
      if (g_str_has_prefix (kind, "order_"))
        {
          const struct order order = {
            kind,
            json_object_get_string_member (o, "id"),
            (guint64)json_object_get_int_member_with_default (o, "version", 0),
          };
          visit (ctx, &order);
        }
      g_clear_pointer (&root, json_node_unref);
    }
  g_strfreev (lines);
  g_free (text);
  g_free (path);
}

struct order_check
{
  gboolean engine_checks_fence;
  guint64 newest_fence;
  guint stale_orders;    /* accepted in spite of an old number */
  guint instance_orders; /* not sent by this test */
};

/* Counts orders with a fencing number below that of an earlier order. An engine
   that checks fencing numbers may have received but must have rejected them. */
static void
check_order (void *ctx, const struct order *order)
{
  struct order_check *order_check = ctx;
  gboolean rejected = order_check->engine_checks_fence
                      && strcmp (order->kind, "order_refused") == 0;
  order_check->instance_orders += strcmp (order->id, TEST_ID) != 0;
  order_check->stale_orders
      += order->fence < order_check->newest_fence && !rejected;
  order_check->newest_fence = MAX (order_check->newest_fence, order->fence);
}

/* Checks all orders that engine I has received so far.  */
static struct order_check
check_engine (guint i)
{
  struct order_check order_check
      = { .engine_checks_fence = deployment_checks_fence (i) };
  for_each_order (i, check_order, &order_check);
  CU_ASSERT_EQUAL (order_check.stale_orders, 0);
  CU_ASSERT_TRUE (order_check.instance_orders > 0);
  return order_check;
}

static void
test_desired_state_is_reached (void)
{
  set_desired_role ("prefill");
  wait_until_settled ();
  CU_ASSERT_TRUE (find_holder () >= 0);
  for (guint i = 0; i < deployment->n_engines; i++)
    check_engine (i);
}

/* Sleeps until T, monotonic microseconds.  */
static void
sleep_until (gint64 t)
{
  gint64 left = t - g_get_monotonic_time ();
  if (left > 0)
    g_usleep ((gulong)left);
}

/* Returns whether the instance has the platform's newest configuration.  */
static gboolean
has_current_config (void *ctx)
{
  const struct deployment_process *instance = ctx;
  JsonNode *root = get_json (instance->proc->admin_port, "/config/status");
  struct harness_request call
      = { .port = deployment->platform->port, .path = "/objects/config" };
  struct harness_response *reply = harness_request (&call);
  const char *etag = g_hash_table_lookup (reply->headers, "etag");
  gboolean same
      = root != NULL && etag != NULL
        && json_object_get_int_member (json_node_get_object (root), "version")
               == g_ascii_strtoll (etag + 1, NULL, 10);
  harness_response_free (reply);
  g_clear_pointer (&root, json_node_unref);
  return same;
}

/* Sends an order that sets another role than the desired one to engine I, with
   the newest fencing number that the engine has seen.  */
static void
order_other_role (guint i)
{
  int port = deployment->engines[i].proc->port;
  char *body = g_strdup_printf ("{\"fence\":%" G_GINT64_FORMAT
                                ",\"id\":\"" TEST_ID "\","
                                "\"kind\":\"set_role\",\"name\":\"both\"}",
                                harness_get_int (port, "/orders", "fence"));
  const struct harness_request call
      = { .port = port, .path = "/orders", .body = body };
  struct harness_response *reply = harness_request (&call);
  CU_ASSERT_EQUAL (reply->status, 200);
  harness_response_free (reply);
  g_free (body);
}

/* The lease holder is paused, another instance takes over, and the pause ends
   when the first holder is due to read its engines again. It then finds engines
   with another role than desired. Engines that ignore fencing numbers must get
   no order with its old number.  */
static void
test_paused_holder (void)
{
  gint64 due = settled_at + ENGINE_REREAD_US;
  int holder = find_holder ();
  CU_ASSERT_TRUE_FATAL (holder >= 0);
  lease_holder = (guint)holder;
  struct deployment_process *instance = &deployment->instances[lease_holder];
  harness_signal (instance->proc, SIGSTOP);
  set_desired_role ("decode");
  wait_until_settled ();
  sleep_until (due);
  for (guint i = 0; i < deployment->n_engines; i++)
    order_other_role (i);
  harness_signal (instance->proc, SIGCONT);
  CU_ASSERT_TRUE (
      harness_wait_until (has_current_config, instance, HARNESS_TIMEOUT_MS));
  wait_until_settled ();
  for (guint i = 0; i < deployment->n_engines; i++)
    check_engine (i);
}

/* The platform, which stores the lease, is down until after the lease has
   expired and the engines' state is due to be read again. The engines' role
   differs from the desired one, but no order may be sent until the platform is
   back.  */
static void
test_no_orders_without_lease (void)
{
  guint before[DEPLOYMENT_PROCESSES_MAX] = { 0 };
  CU_ASSERT_TRUE (
      harness_wait_until (is_settled_holder, &lease_holder, SETTLE_TIMEOUT_MS));
  CU_ASSERT_TRUE (
      harness_set_faults (deployment->platform->port, "{\"down\": true}"));
  gint64 down_at = g_get_monotonic_time ();
  CU_ASSERT_TRUE (
      harness_wait_until (no_lease_holder, NULL, SETTLE_TIMEOUT_MS));
  for (guint i = 0; i < deployment->n_engines; i++)
    {
      before[i] = check_engine (i).instance_orders;
      order_other_role (i);
    }
  sleep_until (down_at + ENGINE_REREAD_US);
  for (guint i = 0; i < deployment->n_engines; i++)
    CU_ASSERT_EQUAL (check_engine (i).instance_orders, before[i]);
  CU_ASSERT_TRUE (
      harness_set_faults (deployment->platform->port, "{\"down\": false}"));
  wait_until_settled ();
  for (guint i = 0; i < deployment->n_engines; i++)
    CU_ASSERT_TRUE (check_engine (i).instance_orders > before[i]);
}

static CU_TestInfo tests[] = {
  { "the desired state is reached", test_desired_state_is_reached },
  { "a paused holder does no harm", test_paused_holder },
  { "no orders after the lease has expired", test_no_orders_without_lease },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "orders", start, stop, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
