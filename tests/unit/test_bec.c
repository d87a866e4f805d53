/* Tests the backend client against a server socket that the test reads itself.
   The process is suspended in each iteration of the main loop between the
   opening of a call and its last byte. After a suspension past send_within_us
   the server must not get the complete request, or it would start it.  */
#include "unit/unit.h"

#include "backend/backend_client.h"
#include "base/clock.h"

#include <string.h>

#define SEND_WITHIN_MS 30
#define SUSPENDED_MS (2 * SEND_WITHIN_MS)
#define TIMEOUT_MS 200    /* of a call; longer than the suspension */
#define ITERATIONS_MAX 60 /* of the main loop before a suspension */
#define BODY "the body of the request"

struct fixture
{
  struct backend_client *client;
  GSocket *listener;
  GSocket *accepted; /* NULL: none yet */
  struct cluster_backend backend;
  GString *received; /* by the server */
  guint iterations;  /* of the main loop until the suspension */
  gsize before;      /* bytes received before the suspension */
  gboolean suspended;
  gboolean ended;
  enum msg_result result;
  gboolean sent;
};

static void
on_head (void *ctx, guint status, SoupMessageHeaders *headers)
{
  (void)ctx;
  (void)status;
  (void)headers;
}

static void
on_data (void *ctx, struct str data)
{
  (void)ctx;
  (void)data;
}

static void
on_end (void *ctx, enum msg_result result, gboolean sent, const struct err *err)
{
  struct fixture *f = ctx;
  (void)err;
  f->ended = TRUE;
  f->result = result;
  f->sent = sent;
}

/* Reads what the server has received.  */
static void
receive (struct fixture *f)
{
  char buffer[4096];
  gssize n;
  if (f->accepted == NULL)
    f->accepted = g_socket_accept (f->listener, NULL, NULL);
  if (f->accepted == NULL)
    return;
  g_socket_set_blocking (f->accepted, FALSE);
  while ((n = g_socket_receive (f->accepted, buffer, sizeof buffer, NULL, NULL))
         > 0)
    g_string_append_len (f->received, buffer, n);
}

/* Whether the server has received a complete request, of which END is the
   end.  */
static gboolean
has_received (const struct fixture *f, const char *end)
{
  return g_str_has_suffix (f->received->str, end);
}

/* Called first in each iteration, before the sources of the call that are
   ready.  */
static gboolean
on_iteration (gpointer data)
{
  struct fixture *f = data;
  if (f->iterations-- > 0)
    return G_SOURCE_CONTINUE;
  receive (f);
  f->before = f->received->len;
  g_usleep (SUSPENDED_MS * 1000);
  f->suspended = TRUE;
  return G_SOURCE_REMOVE;
}

static void
start (struct fixture *f)
{
  GSocketAddress *any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  memset (f, 0, sizeof *f);
  f->listener = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                              G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (f->listener, FALSE);
  CU_ASSERT_TRUE_FATAL (g_socket_bind (f->listener, any, TRUE, NULL)
                        && g_socket_listen (f->listener, NULL));
  GSocketAddress *at = g_socket_get_local_address (f->listener, NULL);
  g_snprintf (f->backend.address, sizeof f->backend.address, "127.0.0.1:%u",
              g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (at)));
  str_id_set (&f->backend.name, STR_LIT ("e1"));
  f->client = backend_client_new ();
  f->received = g_string_new (NULL);
  g_object_unref (at);
  g_object_unref (any);
}

static void
stop (struct fixture *f)
{
  backend_client_free (f->client);
  g_clear_object (&f->accepted);
  g_clear_object (&f->listener);
  g_string_free (f->received, TRUE);
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

/* Runs a call with BODY (may be NULL) and the time limit SEND_WITHIN_US until
   it has ended. The process is suspended in the given iteration of the main
   loop.  */
static void
run_call (struct fixture *f, const char *body, guint iterations,
          gint64 send_within_us)
{
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  GBytes *bytes = body ? g_bytes_new_static (body, strlen (body)) : NULL;
  const struct backend_call_options options = {
    .backend = &f->backend,
    .method = body ? "POST" : "GET",
    .path = "/",
    .headers = headers,
    .body = bytes,
    .content_type = "text/plain",
    .timeout_us = TIMEOUT_MS * CLK_MS,
    .stall_us = TIMEOUT_MS * CLK_MS,
    .send_within_us = send_within_us,
    .head = on_head,
    .data = on_data,
    .end = on_end,
    .ctx = f,
  };
  f->iterations = iterations;
  g_idle_add_full (G_PRIORITY_DEFAULT, on_iteration, f, NULL);
  CU_ASSERT_PTR_NOT_NULL (backend_call_open (f->client, &options));
  while (!f->ended || !f->suspended)
    g_main_context_iteration (NULL, TRUE);
  receive (f);
  g_clear_pointer (&bytes, g_bytes_unref);
  soup_message_headers_unref (headers);
}

/* Suspends the process in each iteration until the request, which ends with
   END, is complete before. A call that is not sent ends as UNUSED.  */
static void
suspend_in_each_iteration (const char *body, const char *end)
{
  guint unsent = 0;
  gboolean was_complete = FALSE;
  for (guint i = 0; i < ITERATIONS_MAX && !was_complete; i++)
    {
      struct fixture f;
      start (&f);
      run_call (&f, body, i, SEND_WITHIN_MS * CLK_MS);
      gboolean complete = has_received (&f, end);
      g_string_truncate (f.received, f.before);
      was_complete = has_received (&f, end);
      CU_ASSERT_EQUAL (complete, was_complete);
      if (!was_complete)
        {
          unsent++;
          CU_ASSERT_EQUAL (f.result, MSG_RESULT_UNUSED);
          CU_ASSERT_EQUAL (f.sent, f.before > 0);
        }
      stop (&f);
    }
  CU_ASSERT_TRUE (was_complete);
  CU_ASSERT_TRUE (unsent > 0);
  g_print ("%u times not sent ", unsent);
}

static void
test_suspended_before_head (void)
{
  suspend_in_each_iteration (NULL, "\r\n\r\n");
}

static void
test_suspended_before_body (void)
{
  suspend_in_each_iteration (BODY, "\r\n\r\n" BODY);
}

/* Without the limit a call is sent after the suspension.  */
static void
test_no_limit (void)
{
  struct fixture f;
  start (&f);
  run_call (&f, BODY, 0, 0);
  CU_ASSERT_EQUAL (f.before, 0);
  CU_ASSERT_TRUE (has_received (&f, "\r\n\r\n" BODY));
  CU_ASSERT_EQUAL (f.result, MSG_RESULT_TIMED_OUT);
  CU_ASSERT_TRUE (f.sent);
  stop (&f);
}

static CU_TestInfo tests[] = {
  { "suspended before the head is sent", test_suspended_before_head },
  { "suspended before the body is sent", test_suspended_before_body },
  { "no limit", test_no_limit },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "backend client", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
