/* Orders of one instance on a fake clock, with a platform and an engine that
   answer at once.  */
#include "unit/unit.h"

#include "node/nod.h"

#include <string.h>

#define STEP_US (20 * CLK_MS)

struct pending
{
  guint64 token;
  gboolean of_store;
  struct storage_request store; /* body owned */
  struct reconciler_request order;
};

struct world
{
  struct clk_fake clk;
  struct ctr ctr;
  struct nod *nod;
  GQueue pending; /* struct pending, owned */
  gboolean down;  /* the platform refuses */
  GBytes *lease;  /* value of the lease object */
  guint64 lease_version;
  gint64 lease_put; /* time of the last write that was taken */
  GBytes *config;
  guint64 config_version;
  guint64 fence; /* of the engine */
  char last_id[RECONCILER_ID_MAX];
  struct str_id role;
  GString *roles;    /* that were ordered, one letter each */
  gint64 last_order; /* time */
  gboolean strange;  /* an order went to another failure domain's engine */
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
act (void *ctx, const struct nod_action *action)
{
  struct world *w = ctx;
  struct pending *p;
  if (action->kind != NOD_DO_STORE && action->kind != NOD_DO_ORDER)
    return;
  p = g_new0 (struct pending, 1);
  p->of_store = action->kind == NOD_DO_STORE;
  if (p->of_store)
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
      w->strange |= strcmp (action->order.backend->name.s, "e1") != 0;
    }
  g_queue_push_tail (&w->pending, p);
}

static void
put_lease (struct world *w, const struct storage_request *call,
           struct storage_response *answer)
{
  if (call->expected != w->lease_version)
    {
      answer->code = ERR_CONFLICT;
      answer->version = w->lease_version;
      return;
    }
  g_clear_pointer (&w->lease, g_bytes_unref);
  w->lease = g_bytes_ref (call->body);
  w->lease_put = w->clk.t;
  answer->version = ++w->lease_version;
}

/* Watches get no answer.  */
static void
answer_store (struct world *w, const struct pending *p)
{
  struct storage_response answer = { 0 };
  struct nod_event event = { .kind = NOD_STORE_ANSWER };
  gboolean is_config = strcmp (p->store.name, "config") == 0;
  gboolean is_lease = strcmp (p->store.name, "lease/orders-d1") == 0;
  if (p->store.op == STORAGE_WATCH)
    return;
  if (w->down)
    answer.code = ERR_UNAVAILABLE;
  else if (is_lease && p->store.op == STORAGE_PUT)
    put_lease (w, &p->store, &answer);
  else if (is_config || (is_lease && w->lease != NULL))
    {
      answer.body = is_config ? w->config : w->lease;
      answer.version = is_config ? w->config_version : w->lease_version;
    }
  else
    answer.code = ERR_NOT_FOUND;
  event.store_answer.token = p->token;
  event.store_answer.answer = &answer;
  nod_handle (w->nod, &event);
}

static void
apply_order (struct world *w, const struct reconciler_request *order)
{
  w->fence = MAX (w->fence, order->fence);
  w->role = order->name;
  w->last_order = w->clk.t;
  g_strlcpy (w->last_id, order->id, sizeof w->last_id);
  g_string_append_c (w->roles, order->name.s[0]);
}

static void
answer_order (struct world *w, const struct pending *p)
{
  struct nod_event event = { .kind = NOD_ORDER_ANSWER };
  if (p->order.post)
    apply_order (w, &p->order);
  const struct reconciler_response answer
      = { .fence = w->fence, .last_id = w->last_id, .role = w->role.s };
  event.order_answer.token = p->token;
  event.order_answer.answer = &answer;
  nod_handle (w->nod, &event);
}

static void
run (struct world *w, gint64 us)
{
  const struct nod_event tick = { .kind = NOD_TICK };
  for (gint64 end = w->clk.t + us; w->clk.t < end; w->clk.t += STEP_US)
    {
      struct pending *p;
      nod_handle (w->nod, &tick);
      while ((p = g_queue_pop_head (&w->pending)) != NULL)
        {
          if (p->of_store)
            answer_store (w, p);
          else
            answer_order (w, p);
          g_clear_pointer (&p->store.body, g_bytes_unref);
          g_free (p);
        }
    }
}

static void
start (struct world *w)
{
  struct err err;
  memset (w, 0, sizeof *w);
  clk_fake_init (&w->clk, CLK_S);
  g_queue_init (&w->pending);
  w->roles = g_string_new (NULL);
  w->config = make_config ("prefill");
  w->config_version = 1;
  struct nod_options options = { .clk = &w->clk.clk,
                                 .seed = 1,
                                 .ctr = &w->ctr,
                                 .address = "",
                                 .incarnation = 1,
                                 .chart_folder = JW_SOURCE_DIR "/charts",
                                 .act = act,
                                 .ctx = w };
  str_id_set (&options.self, STR_LIT ("i1"));
  str_id_set (&options.domain, STR_LIT ("d1"));
  str_id_set (&options.region, STR_LIT ("r"));
  CU_ASSERT_EQUAL_FATAL (nod_new (&options, &w->nod, &err), 0);
}

static void
stop (struct world *w)
{
  CU_ASSERT_FALSE (w->strange);
  nod_free (w->nod);
  g_clear_pointer (&w->lease, g_bytes_unref);
  g_bytes_unref (w->config);
  g_string_free (w->roles, TRUE);
}

static void
test_desired_state_is_ordered (void)
{
  struct world w;
  start (&w);
  run (&w, 20 * CLK_S);
  CU_ASSERT_STRING_EQUAL (w.roles->str, "p");
  CU_ASSERT_EQUAL (w.ctr.v[CTR_ORDERS], 1);
  CU_ASSERT_TRUE (w.fence > 0);
  stop (&w);
}

static void
test_nothing_is_ordered_after_the_lease (void)
{
  struct world w;
  start (&w);
  run (&w, 20 * CLK_S);
  w.down = TRUE;
  for (guint i = 0; i < 12; i++)
    {
      str_id_set (&w.role, STR_LIT ("lost"));
      run (&w, 10 * CLK_S);
    }
  CU_ASSERT_TRUE (w.last_order
                  <= w.lease_put + LEASE_TERM_US - LEASE_ORDER_DELIVERY_MAX_US);
  CU_ASSERT_STRING_EQUAL (w.role.s, "lost");
  w.down = FALSE;
  run (&w, 30 * CLK_S);
  CU_ASSERT_STRING_EQUAL (w.role.s, "prefill");
  stop (&w);
}

/* A peer pushed version 1; the platform has version 2 by now.  */
static void
test_a_new_holder_orders_by_the_newest_configuration (void)
{
  struct world w;
  struct msg msg = { .kind = MSG_OBJECT_BODY };
  struct nod_event event = { .kind = NOD_MESSAGE };
  start (&w);
  GBytes *old = w.config;
  str_id_set (&msg.object_body.object, STR_LIT ("config"));
  msg.object_body.version = 1;
  msg.object_body.body.p = g_bytes_get_data (old, &msg.object_body.body.n);
  event.message.from = "i2";
  event.message.msg = &msg;
  nod_handle (w.nod, &event);
  CU_ASSERT_EQUAL (nod_config (w.nod)->version, 1);
  w.config = make_config ("decode");
  w.config_version = 2;
  run (&w, 20 * CLK_S);
  CU_ASSERT_STRING_EQUAL (w.roles->str, "d");
  g_bytes_unref (old);
  stop (&w);
}

static void
test_a_leaving_instance_releases_the_lease (void)
{
  const struct nod_event event = { .kind = NOD_SHUTDOWN };
  struct world w;
  start (&w);
  run (&w, 20 * CLK_S);
  nod_handle (w.nod, &event);
  run (&w, CLK_S);
  const char *value = g_bytes_get_data (w.lease, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (value, "released=true"));
  str_id_set (&w.role, STR_LIT ("lost"));
  run (&w, 60 * CLK_S);
  CU_ASSERT_STRING_EQUAL (w.roles->str, "p");
  stop (&w);
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
  { "orders of a node", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
