/* Tests the order client against a server on the same main loop.  */
#include "unit/unit.h"

#include "backend/order_client.h"

#include <libsoup/soup.h>
#include <string.h>

#define LIMIT_US (50 * CLK_MS)
#define ITERATIONS_MAX 40 /* of the main loop before a suspension */

struct fixture
{
  SoupServer *server;
  struct order_client *client;
  struct cluster_backend backend;
  guint status; /* of the server's response; 0: it does not respond */
  const char *text;
  guint requests; /* received by the server */
  char *body;     /* of the last request */
  guint responses;
  struct reconciler_response response; /* pointers in it are stale */
  guint n_models;
  char *role;
};

static void
handle (SoupServer *server, SoupServerMessage *msg, const char *path,
        GHashTable *query, gpointer ctx)
{
  struct fixture *f = ctx;
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  (void)server;
  (void)path;
  (void)query;
  f->requests++;
  g_free (f->body);
  f->body = g_strndup (body->data ? body->data : "", (gsize)body->length);
  if (f->status == 0)
    {
      soup_server_message_pause (msg);
      return;
    }
  soup_server_message_set_status (msg, f->status, NULL);
  soup_message_headers_append (soup_server_message_get_response_headers (msg),
                               "Location", "/elsewhere");
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    f->text, strlen (f->text));
}

static void
on_response (void *ctx, guint64 token,
             const struct reconciler_response *response)
{
  struct fixture *f = ctx;
  CU_ASSERT_EQUAL (token, 7);
  f->responses++;
  f->response = *response;
  f->n_models
      = response->models ? g_strv_length ((char **)response->models) : 0;
  g_free (f->role);
  f->role = g_strdup (response->role);
}

static void
start (struct fixture *f)
{
  memset (f, 0, sizeof *f);
  const struct order_client_options options
      = { .response = on_response, .ctx = f };
  f->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (f->server, NULL, handle, f, NULL);
  CU_ASSERT_TRUE_FATAL (soup_server_listen_local (
      f->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  GSList *uris = soup_server_get_uris (f->server);
  g_snprintf (f->backend.address, sizeof f->backend.address, "127.0.0.1:%d",
              g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  str_id_set (&f->backend.name, STR_LIT ("e1"));
  f->client = order_client_new (&options);
}

static void
stop (struct fixture *f)
{
  order_client_free (f->client);
  soup_server_disconnect (f->server);
  g_object_unref (f->server);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_free (f->body);
  g_free (f->role);
}

static void
start_request (struct fixture *f, gboolean post, gint64 timeout_us)
{
  struct reconciler_request call = { .post = post,
                                     .fence = 12,
                                     .id = "12-1",
                                     .kind = RECONCILER_SET_ROLE,
                                     .timeout_us = timeout_us };
  str_id_set (&call.name, STR_LIT ("decode"));
  f->responses = 0;
  order_client_start (f->client, 7, &f->backend, &call);
  CU_ASSERT_EQUAL (f->responses, 0);
}

static void
wait_for_response (struct fixture *f)
{
  while (f->responses == 0)
    g_main_context_iteration (NULL, TRUE);
}

static void
test_error_codes (void)
{
  static const struct
  {
    gboolean post;
    guint status;
    const char *text;
    int code;
    guint64 fence;
  } cases[] = {
    { TRUE, 200, "{\"applied\": true}", 0, 0 },
    { TRUE, 200, "{\"applied\": false}", ERR_PROTOCOL, 0 },
    { TRUE, 200, "{\"applied\"", ERR_PROTOCOL, 0 },
    { TRUE, 200, "[]", ERR_PROTOCOL, 0 },
    { TRUE, 409, "{\"fence\": 30}", ERR_CONFLICT, 30 },
    { TRUE, 409, "{\"fence\": \"x\"}", ERR_CONFLICT, 0 },
    { TRUE, 429, "{}", ERR_LIMIT, 0 },
    { TRUE, 503, "", ERR_UNAVAILABLE, 0 },
    { TRUE, 500, "{}", ERR_PROTOCOL, 0 },
    { TRUE, 302, "{}", ERR_PROTOCOL, 0 },
    { FALSE, 200, "{\"fence\": 12, \"models\": [\"a\", 1, null, \"b\"]}", 0,
      12 },
    { FALSE, 200, "{\"fence\": -1, \"models\": {}}", 0, 0 },
    { FALSE, 409, "{}", ERR_PROTOCOL, 0 },
  };
  struct fixture f;
  start (&f);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      f.status = cases[i].status;
      f.text = cases[i].text;
      start_request (&f, cases[i].post, LEASE_ORDER_DELIVERY_MAX_US);
      wait_for_response (&f);
      CU_ASSERT_EQUAL (f.response.code, cases[i].code);
      CU_ASSERT_EQUAL (f.response.fence, cases[i].fence);
      CU_ASSERT_EQUAL (f.requests, i + 1);
      CU_ASSERT_EQUAL (f.n_models, i == 10 ? 2 : 0);
    }
  stop (&f);
}

static void
test_order_and_state (void)
{
  struct fixture f;
  start (&f);
  f.status = 200;
  f.text = "{\"applied\": true, \"role\": \"both\"}";
  start_request (&f, TRUE, LEASE_ORDER_DELIVERY_MAX_US);
  wait_for_response (&f);
  CU_ASSERT_STRING_EQUAL (f.body, "{\"fence\":12,\"id\":\"12-1\","
                                  "\"kind\":\"set_role\",\"name\":\"decode\"}");
  start_request (&f, FALSE, LEASE_ORDER_DELIVERY_MAX_US);
  wait_for_response (&f);
  CU_ASSERT_STRING_EQUAL (f.body, "");
  CU_ASSERT_STRING_EQUAL (f.role, "both");
  stop (&f);
}

static void
test_response_too_large (void)
{
  struct fixture f;
  char *text = g_strnfill (1024 * 1024, ' ');
  start (&f);
  f.status = 200;
  f.text = text;
  start_request (&f, FALSE, LEASE_ORDER_DELIVERY_MAX_US);
  wait_for_response (&f);
  CU_ASSERT_EQUAL (f.response.code, ERR_TOO_LARGE);
  stop (&f);
  g_free (text);
}

static void
test_timeout (void)
{
  struct fixture f;
  start (&f);
  start_request (&f, TRUE, LIMIT_US);
  wait_for_response (&f);
  CU_ASSERT_EQUAL (f.response.code, ERR_TIMEOUT);
  CU_ASSERT_EQUAL (f.requests, 1);
  stop (&f);
}

/* The process is suspended past the time limit after each possible number of
   loop iterations. An order that is reported as not sent must never arrive.  */
static void
test_paused_before_sending (void)
{
  guint unsent = 0;
  for (guint iterations = 0; iterations < ITERATIONS_MAX; iterations++)
    {
      struct fixture f;
      start (&f);
      f.status = 200;
      f.text = "{\"applied\": true}";
      start_request (&f, TRUE, LIMIT_US);
      for (guint i = 0; i < iterations && f.responses == 0; i++)
        g_main_context_iteration (NULL, FALSE);
      g_usleep ((gulong)LIMIT_US);
      wait_for_response (&f);
      while (g_main_context_iteration (NULL, FALSE))
        ;
      if (f.response.code == ERR_UNAVAILABLE)
        {
          unsent++;
          CU_ASSERT_EQUAL (f.requests, 0);
        }
      stop (&f);
    }
  CU_ASSERT_TRUE (unsent > 0);
  g_print ("%u of %u not sent ", unsent, ITERATIONS_MAX);
}

static void
test_freed_while_open (void)
{
  struct fixture f;
  start (&f);
  start_request (&f, TRUE, LEASE_ORDER_DELIVERY_MAX_US);
  while (f.requests == 0)
    g_main_context_iteration (NULL, TRUE);
  stop (&f);
  CU_ASSERT_EQUAL (f.responses, 0);
}

static CU_TestInfo tests[] = {
  { "responses are mapped to error codes", test_error_codes },
  { "body of an order and state of an engine", test_order_and_state },
  { "a response over the size limit fails", test_response_too_large },
  { "a request without response times out", test_timeout },
  { "suspended before sending", test_paused_before_sending },
  { "freed while a request is open", test_freed_while_open },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "order client", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
