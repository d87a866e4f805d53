/* Orders that one instance sends to an engine under its lease, with a fake
   clock and a store and an engine that respond at once.  */
#include "unit/unit.h"

#include "node/core.h"

#include <string.h>

#define STEP_US (20 * CLK_MS)

struct pending
{
  guint64 token;
  gboolean to_store;
  struct storage_request store; /* body owned */
  struct reconciler_request order;
};

struct fixture
{
  struct clk_fake clk;
  struct counter_set counter_set;
  struct core *core;
  GQueue pending;      /* struct pending, owned */
  gboolean store_down; /* the store is unavailable */
  GBytes *lease;       /* value of the lease object */
  guint64 lease_version;
  gint64 lease_written; /* time of the last accepted write */
  GBytes *config;
  guint64 config_version;
  guint64 fence; /* highest one that the engine received */
  char last_id[RECONCILER_ID_MAX];
  struct str_id role;
  GString *roles;        /* first letters of the ordered roles */
  gint64 last_order;     /* time */
  gboolean wrong_domain; /* an order went to another failure domain */
};

static GBytes *
make_config (const char *role)
{
  char *text = g_strdup_printf (
      "[jacinthward]\npreset=ordinary\n[preset:ordinary]\nspill=none\n"
      "[preset:peak]\nspill=none\n[preset:maintenance]\nspill=none\n"
      "[domain:d1]\nregion=r\n[domain:d2]\nregion=r\n"
      "[class:c]\ntier=0\ndeadline_ms=1000\nmin_share=0.1\nmax_waiting=9\n"
      "[model:m]\n"
      "[backend:e1]\naddress=127.0.0.1:9001\npool=m\ndomain=d1\n"
      "max_running=8\nrole=%s\n"
      "[backend:e2]\naddress=127.0.0.1:9002\npool=m\ndomain=d2\n"
      "max_running=8\nrole=%s\n",
      role, role);
  return g_bytes_new_take (text, strlen (text));
}

static void
act (void *ctx, const struct core_action *action)
{
  struct fixture *fixture = ctx;
  struct pending *p;
  if (action->kind != CORE_DO_STORE && action->kind != CORE_DO_ORDER)
    return;
  p = g_new0 (struct pending, 1);
  p->to_store = action->kind == CORE_DO_STORE;
  if (p->to_store)
    {
      p->token = action->store.token;
      p->store = *action->store.call;
      if (p->store.body != NULL)
        g_bytes_ref (p->store.body);
    }
  else
    {
      p->token = action->order.token;
      p->order = *action->order.call;
      fixture->wrong_domain
          |= strcmp (action->order.backend->name.s, "e1") != 0;
    }
  g_queue_push_tail (&fixture->pending, p);
}

static void
write_lease (struct fixture *fixture, const struct storage_request *call,
             struct storage_response *response)
{
  if (call->expected != fixture->lease_version)
    {
      response->code = ERR_CONFLICT;
      response->version = fixture->lease_version;
      return;
    }
  g_clear_pointer (&fixture->lease, g_bytes_unref);
  fixture->lease = g_bytes_ref (call->body);
  fixture->lease_written = fixture->clk.t;
  response->version = ++fixture->lease_version;
}

/* Watches get no response.  */
static void
respond_store (struct fixture *fixture, const struct pending *p)
{
  struct storage_response response = { 0 };
  struct core_event event = { .kind = CORE_STORE_RESPONSE };
  gboolean is_config = strcmp (p->store.name, "config") == 0;
  gboolean is_lease = strcmp (p->store.name, "lease/orders-d1") == 0;
  if (p->store.op == STORAGE_WATCH)
    return;
  if (fixture->store_down)
    response.code = ERR_UNAVAILABLE;
  else if (is_lease && p->store.op == STORAGE_PUT)
    write_lease (fixture, &p->store, &response);
  else if (is_config || (is_lease && fixture->lease != NULL))
    {
      response.body = is_config ? fixture->config : fixture->lease;
      response.version
          = is_config ? fixture->config_version : fixture->lease_version;
    }
  else
    response.code = ERR_NOT_FOUND;
  event.store_response.token = p->token;
  event.store_response.response = &response;
  core_handle (fixture->core, &event);
}

static void
apply_order (struct fixture *fixture, const struct reconciler_request *order)
{
  fixture->fence = MAX (fixture->fence, order->fence);
  fixture->role = order->name;
  fixture->last_order = fixture->clk.t;
  g_strlcpy (fixture->last_id, order->id, sizeof fixture->last_id);
  g_string_append_c (fixture->roles, order->name.s[0]);
}

static void
respond_order (struct fixture *fixture, const struct pending *p)
{
  struct core_event event = { .kind = CORE_ORDER_RESPONSE };
  if (p->order.post)
    apply_order (fixture, &p->order);
  const struct reconciler_response response = { .fence = fixture->fence,
                                                .last_id = fixture->last_id,
                                                .role = fixture->role.s };
  event.order_response.token = p->token;
  event.order_response.response = &response;
  core_handle (fixture->core, &event);
}

static void
run (struct fixture *fixture, gint64 us)
{
  const struct core_event tick = { .kind = CORE_TICK };
  for (gint64 end = fixture->clk.t + us; fixture->clk.t < end;
       fixture->clk.t += STEP_US)
    {
      struct pending *p;
      core_handle (fixture->core, &tick);
      while ((p = g_queue_pop_head (&fixture->pending)) != NULL)
        {
          if (p->to_store)
            respond_store (fixture, p);
          else
            respond_order (fixture, p);
          g_clear_pointer (&p->store.body, g_bytes_unref);
          g_free (p);
        }
    }
}

static void
start (struct fixture *fixture)
{
  struct err err;
  memset (fixture, 0, sizeof *fixture);
  clk_fake_init (&fixture->clk, CLK_S);
  g_queue_init (&fixture->pending);
  fixture->roles = g_string_new (NULL);
  fixture->config = make_config ("prefill");
  fixture->config_version = 1;
  struct core_options options = { .clk = &fixture->clk.clk,
                                  .seed = 1,
                                  .counter_set = &fixture->counter_set,
                                  .address = "",
                                  .incarnation = 1,
                                  .chart_folder = JW_SOURCE_DIR "/charts",
                                  .act = act,
                                  .ctx = fixture };
  str_id_set (&options.self, STR_LIT ("i1"));
  str_id_set (&options.domain, STR_LIT ("d1"));
  str_id_set (&options.region, STR_LIT ("r"));
  CU_ASSERT_EQUAL_FATAL (core_new (&options, &fixture->core, &err), 0);
}

static void
stop (struct fixture *fixture)
{
  CU_ASSERT_FALSE (fixture->wrong_domain);
  core_free (fixture->core);
  g_clear_pointer (&fixture->lease, g_bytes_unref);
  g_bytes_unref (fixture->config);
  g_string_free (fixture->roles, TRUE);
}

static void
test_desired_state_is_ordered (void)
{
  struct fixture fixture;
  start (&fixture);
  run (&fixture, 20 * CLK_S);
  CU_ASSERT_STRING_EQUAL (fixture.roles->str, "p");
  CU_ASSERT_EQUAL (fixture.counter_set.v[COUNTER_ORDERS], 1);
  CU_ASSERT_TRUE (fixture.fence > 0);
  stop (&fixture);
}

static void
test_nothing_is_ordered_after_the_lease (void)
{
  struct fixture fixture;
  start (&fixture);
  run (&fixture, 20 * CLK_S);
  fixture.store_down = TRUE;
  for (guint i = 0; i < 12; i++)
    {
      str_id_set (&fixture.role, STR_LIT ("lost"));
      run (&fixture, 10 * CLK_S);
    }
  CU_ASSERT_TRUE (fixture.last_order <= fixture.lease_written + LEASE_TERM_US
                                            - LEASE_ORDER_DELIVERY_MAX_US);
  CU_ASSERT_STRING_EQUAL (fixture.role.s, "lost");
  fixture.store_down = FALSE;
  run (&fixture, 30 * CLK_S);
  CU_ASSERT_STRING_EQUAL (fixture.role.s, "prefill");
  stop (&fixture);
}

/* A peer sent version 1, but the store has version 2. The new lease holder
   must not order by version 1.  */
static void
test_a_new_holder_orders_by_the_newest_configuration (void)
{
  struct fixture fixture;
  struct msg msg = { .kind = MSG_OBJECT_BODY };
  struct core_event event = { .kind = CORE_MESSAGE };
  start (&fixture);
  GBytes *old = fixture.config;
  str_id_set (&msg.object_body.object, STR_LIT ("config"));
  msg.object_body.version = 1;
  msg.object_body.body.p = g_bytes_get_data (old, &msg.object_body.body.n);
  event.message.from = "i2";
  event.message.msg = &msg;
  core_handle (fixture.core, &event);
  CU_ASSERT_EQUAL (core_config (fixture.core)->version, 1);
  fixture.config = make_config ("decode");
  fixture.config_version = 2;
  run (&fixture, 20 * CLK_S);
  CU_ASSERT_STRING_EQUAL (fixture.roles->str, "d");
  g_bytes_unref (old);
  stop (&fixture);
}

static void
test_a_leaving_instance_releases_the_lease (void)
{
  const struct core_event event = { .kind = CORE_SHUTDOWN };
  struct fixture fixture;
  start (&fixture);
  run (&fixture, 20 * CLK_S);
  core_handle (fixture.core, &event);
  run (&fixture, CLK_S);
  const char *value = g_bytes_get_data (fixture.lease, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (value, "released=true"));
  str_id_set (&fixture.role, STR_LIT ("lost"));
  run (&fixture, 60 * CLK_S);
  CU_ASSERT_STRING_EQUAL (fixture.roles->str, "p");
  stop (&fixture);
}

static CU_TestInfo tests[] = {
  { "the desired state is ordered", test_desired_state_is_ordered },
  { "nothing is ordered after the lease",
    test_nothing_is_ordered_after_the_lease },
  { "a new holder orders by the newest configuration",
    test_a_new_holder_orders_by_the_newest_configuration },
  { "a leaving instance releases the lease",
    test_a_leaving_instance_releases_the_lease },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "orders of an instance", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
