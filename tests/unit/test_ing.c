/* Tests the ingress against a client socket on the same main loop. Its core
   takes the requests, and the test carries out the core's actions itself.  */
#include "unit/unit.h"

#include "entry/ingress.h"

#include <string.h>

#define STALL_MS 100 /* limit for a client that reads nothing */
/* Longer than the interval in which the ingress checks its limits.  */
#define CHECK_MS 150
#define WAIT_MS 5000 /* such a wait normally takes a few ms */
#define TEAM_KEY "key-of-crew"
#define BACKLOG 12 /* connections */

static const char config[]
    = "[jacinthward]\npreset=ordinary\n"
      "[preset:ordinary]\nspill=anywhere\n[preset:peak]\nspill=anywhere\n"
      "[preset:maintenance]\nspill=anywhere\n"
      "[class:urgent]\ntier=0\nttft_ms=2000\ntbt_ms=200\ndeadline_ms=60000\n"
      "min_share=0.3\nmax_waiting=256\nreserved_waiting=16\nretry_share=0.5\n"
      "link_bytes_per_s=4000000\nspill=anywhere\n"
      "[team:crew]\nkey_sha256=%s\nweight=1\nmax_running=0\nclasses=urgent\n"
      "default_class=urgent\n"
      "[operator:ops]\ntoken_sha256=%s\nwrite=yes\n"
      "[domain:d]\nregion=r\n"
      "[model:m]\n"
      "[backend:e1]\naddress=127.0.0.1:9\npool=m\ndomain=d\nmax_running=8\n";

struct fixture
{
  struct counter_set counter_set;
  struct core *core;
  struct backend_client *backend_client;
  struct ingress *ingress;
  GSocket *client;
  GString *received; /* by the client */
  gboolean closed;   /* the client has seen the end of its connection */
};

static void
ignore_action (void *ctx, const struct core_action *action)
{
  (void)ctx;
  (void)action;
}

static void
set_config (struct core *core)
{
  char *sum = g_compute_checksum_for_string (G_CHECKSUM_SHA256, TEAM_KEY, -1);
  char *text = g_strdup_printf (config, sum, sum);
  struct msg msg = { .kind = MSG_OBJECT_BODY };
  struct core_event event = { .kind = CORE_MESSAGE };
  str_id_set (&msg.object_body.object, STR_LIT ("config"));
  msg.object_body.version = 1;
  msg.object_body.body = str_of (text);
  event.message.from = "peer";
  event.message.msg = &msg;
  core_handle (core, &event);
  CU_ASSERT_PTR_NOT_NULL_FATAL (core_config (core));
  g_free (text);
  g_free (sum);
}

static void
start (struct fixture *f)
{
  struct err err;
  memset (f, 0, sizeof *f);
  struct core_options core_options = {
    .clk = clk_system (),
    .counter_set = &f->counter_set,
    .address = "127.0.0.1:1",
    .incarnation = 1,
    .chart_folder = JW_SOURCE_DIR "/charts",
    .act = ignore_action,
  };
  str_id_set (&core_options.self, STR_LIT ("a"));
  str_id_set (&core_options.domain, STR_LIT ("d"));
  str_id_set (&core_options.region, STR_LIT ("r"));
  CU_ASSERT_EQUAL_FATAL (core_new (&core_options, &f->core, &err), 0);
  set_config (f->core);
  f->backend_client = backend_client_new ();
  const struct ingress_options options = {
    .listen = "127.0.0.1:0",
    .self = core_options.self,
    .core = f->core,
    .backend_client = f->backend_client,
    .counter_set = &f->counter_set,
    .limits = { .body_bytes = 1 << 20,
                .header_bytes = 1 << 14,
                .requests = 16,
                .arrival_us = WAIT_MS * CLK_MS,
                .client_stall_us = STALL_MS * CLK_MS,
                .backend_stall_us = WAIT_MS * CLK_MS },
  };
  CU_ASSERT_EQUAL_FATAL (ingress_new (&options, &f->ingress, &err), 0);
  f->received = g_string_new (NULL);
}

static void
stop (struct fixture *f)
{
  g_clear_object (&f->client);
  ingress_free (f->ingress);
  backend_client_free (f->backend_client);
  core_free (f->core);
  g_string_free (f->received, TRUE);
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

/* Returns a new connection to the ingress, which need not have accepted it.
   Freed by g_object_unref.  */
static GSocket *
connect_client (struct fixture *f)
{
  GSocketAddress *to = g_inet_socket_address_new_from_string (
      "127.0.0.1", ingress_port (f->ingress));
  GSocket *client = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  CU_ASSERT_TRUE_FATAL (g_socket_connect (client, to, NULL, NULL));
  g_socket_set_blocking (client, FALSE);
  g_object_unref (to);
  return client;
}

static void
send_text (GSocket *client, const char *text)
{
  CU_ASSERT_EQUAL (g_socket_send (client, text, strlen (text), NULL, NULL),
                   (gssize)strlen (text));
}

static const char completion_head[]
    = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
      "Authorization: Bearer " TEAM_KEY "\r\nContent-Length: 26\r\n\r\n";
static const char completion_body[] = "{\"model\":\"m\",\"prompt\":\"x\"}";

/* Runs the main loop until the ingress has N requests in progress.  */
static void
wait_for_requests (struct fixture *f, guint n)
{
  gint64 end = g_get_monotonic_time () + WAIT_MS * CLK_MS;
  while (ingress_unfinished (f->ingress) != n && g_get_monotonic_time () < end)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (ingress_unfinished (f->ingress), n);
}

static void
stop_listening (struct fixture *f)
{
  while (!ingress_stop_listening (f->ingress))
    g_main_context_iteration (NULL, FALSE);
}

/* Sends a completion request on a new connection and waits until the ingress
   has it.  */
static void
send_request (struct fixture *f)
{
  f->client = connect_client (f);
  send_text (f->client, completion_head);
  send_text (f->client, completion_body);
  wait_for_requests (f, 1);
}

static void
receive (struct fixture *f)
{
  char buffer[4096];
  gssize n;
  while ((n = g_socket_receive (f->client, buffer, sizeof buffer, NULL, NULL))
         > 0)
    g_string_append_len (f->received, buffer, n);
  f->closed |= n == 0;
}

/* Runs the main loop and reads what the client gets for MS milliseconds, or
   until it has received TEXT or its connection is closed.  */
static void
run (struct fixture *f, gint64 ms, const char *text)
{
  gint64 end = g_get_monotonic_time () + ms * CLK_MS;
  while (g_get_monotonic_time () < end && !f->closed
         && (text == NULL || strstr (f->received->str, text) == NULL))
    {
      g_main_context_iteration (NULL, FALSE);
      receive (f);
      g_usleep (1000);
    }
}

/* Responds to request ID.  */
static void
replay (struct fixture *f, guint64 id)
{
  struct core_action action = { .kind = CORE_DO_REPLAY };
  action.replay.request = id;
  action.replay.status = 200;
  action.replay.content_type = STR_LIT ("text/plain");
  action.replay.body = STR_LIT ("the response");
  ingress_execute (f->ingress, &action);
}

/* A response is ready longer after its request than a client may take to read,
   and the check of that limit is due before libsoup writes the response. The
   client, which had nothing to read, must get it.  */
static void
test_late_response_is_delivered (void)
{
  struct fixture f;
  start (&f);
  send_request (&f);
  run (&f, 2 * STALL_MS, NULL);
  g_usleep (CHECK_MS * 1000);
  replay (&f, 1);
  run (&f, WAIT_MS, "the response");
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received->str, "HTTP/1.1 200"));
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received->str, "the response"));
  CU_ASSERT_FALSE (f.closed);
  CU_ASSERT_EQUAL (f.counter_set.v[COUNTER_CLIENT_SLOW], 0);
  stop (&f);
}

/* The kernel has accepted connections, with requests, that the process has not.
   They are served after the listener is closed.  */
static void
test_backlog_of_closed_listener (void)
{
  struct fixture f;
  GSocket *clients[BACKLOG];
  start (&f);
  for (guint i = 0; i < BACKLOG; i++)
    {
      clients[i] = connect_client (&f);
      send_text (clients[i], completion_head);
      send_text (clients[i], completion_body);
    }
  stop_listening (&f);
  wait_for_requests (&f, BACKLOG);
  for (guint i = 0; i < BACKLOG; i++)
    g_object_unref (clients[i]);
  stop (&f);
}

/* A request of which only a part has arrived counts as unfinished, so that the
   process does not end before it.  */
static void
test_partial_request_is_unfinished (void)
{
  struct fixture f;
  start (&f);
  f.client = connect_client (&f);
  send_text (f.client, completion_head);
  run (&f, CHECK_MS, NULL);
  stop_listening (&f);
  CU_ASSERT_EQUAL (ingress_unfinished (f.ingress), 1);
  send_text (f.client, completion_body);
  run (&f, CHECK_MS, NULL);
  replay (&f, 1);
  run (&f, WAIT_MS, "the response");
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received->str, "the response"));
  stop (&f);
}

/* After the listener is closed, a response ends its connection: a client that
   sent its next request there could lose it when the process ends.  */
static void
test_last_response_closes (void)
{
  struct fixture f;
  start (&f);
  send_request (&f);
  stop_listening (&f);
  replay (&f, 1);
  run (&f, WAIT_MS, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received->str, "the response"));
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received->str, "Connection: close"));
  CU_ASSERT_TRUE (f.closed);
  CU_ASSERT_EQUAL (ingress_unfinished (f.ingress), 0);
  stop (&f);
}

static CU_TestInfo tests[] = {
  { "a late response is delivered", test_late_response_is_delivered },
  { "the backlog of a closed listener", test_backlog_of_closed_listener },
  { "a partial request is unfinished", test_partial_request_is_unfinished },
  { "the last response closes its connection", test_last_response_closes },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "ingress", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
