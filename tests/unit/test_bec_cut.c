/* A response that is cut off must not be taken for a complete one, wherever its
   framing is cut: it would be passed on as such, and stored under an
   idempotency key.  */
#include "unit/unit.h"

#include "backend/backend_client.h"
#include "base/clock.h"

#include <string.h>

#define TIMEOUT_MS 5000 /* of a call, which normally takes a few ms */

struct fixture
{
  GString *body;
  gboolean ended;
  enum msg_result result;
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
  struct fixture *f = ctx;
  g_string_append_len (f->body, data.p, (gssize)data.n);
}

static void
on_end (void *ctx, enum msg_result result, gboolean sent, const struct err *err)
{
  struct fixture *f = ctx;
  (void)sent;
  (void)err;
  f->ended = TRUE;
  f->result = result;
}

static GSocket *
start_listener (struct cluster_backend *backend)
{
  GSocketAddress *any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  GSocket *listener = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (listener, FALSE);
  CU_ASSERT_TRUE_FATAL (g_socket_bind (listener, any, TRUE, NULL)
                        && g_socket_listen (listener, NULL));
  GSocketAddress *at = g_socket_get_local_address (listener, NULL);
  g_snprintf (backend->address, sizeof backend->address, "127.0.0.1:%u",
              g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (at)));
  str_id_set (&backend->name, STR_LIT ("s1"));
  g_object_unref (at);
  g_object_unref (any);
  return listener;
}

/* Accepts a connection into ACCEPTED if it is NULL. Once a request has arrived
   there, sends RESPONSE and closes it.  */
static void
serve (GSocket *listener, GSocket **accepted, const char *response)
{
  char request[4096];
  if (*accepted == NULL)
    *accepted = g_socket_accept (listener, NULL, NULL);
  if (*accepted == NULL)
    return;
  g_socket_set_blocking (*accepted, FALSE);
  if (g_socket_receive (*accepted, request, sizeof request, NULL, NULL) <= 0)
    return;
  CU_ASSERT_EQUAL (
      g_socket_send (*accepted, response, strlen (response), NULL, NULL),
      (gssize)strlen (response));
  g_clear_object (accepted);
}

/* Makes a call with METHOD, which gets RESPONSE with BODY and then the end of
   the connection. Returns its result.  */
static enum msg_result
call (const char *method, const char *response, const char *body)
{
  struct fixture f = { .body = g_string_new (NULL) };
  struct cluster_backend backend = { 0 };
  GSocket *listener = start_listener (&backend);
  GSocket *accepted = NULL;
  struct backend_client *client = backend_client_new ();
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_REQUEST);
  const struct backend_call_options options = {
    .backend = &backend,
    .method = method,
    .path = "/",
    .headers = headers,
    .content_type = "text/plain",
    .timeout_us = TIMEOUT_MS * CLK_MS,
    .stall_us = TIMEOUT_MS * CLK_MS,
    .head = on_head,
    .data = on_data,
    .end = on_end,
    .ctx = &f,
  };
  CU_ASSERT_PTR_NOT_NULL (backend_call_open (client, &options));
  while (!f.ended)
    {
      g_main_context_iteration (NULL, FALSE);
      serve (listener, &accepted, response);
    }
  CU_ASSERT_STRING_EQUAL (f.body->str, body);
  backend_client_free (client);
  soup_message_headers_unref (headers);
  g_clear_object (&accepted);
  g_object_unref (listener);
  g_string_free (f.body, TRUE);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  return f.result;
}

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define LENGTH "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"

static void
test_cut (void)
{
  static const struct
  {
    const char *response;
    const char *body; /* up to the cut */
  } cases[] = {
    { CHUNKED, "" },
    { CHUNKED "6", "" },
    { CHUNKED "6\r\nfir", "fir" },
    { CHUNKED "6\r\nfirst ", "first " },
    { CHUNKED "6\r\nfirst \r\n", "first " },
    { CHUNKED "6\r\nfirst \r\n4\r\nmore\r\n", "first more" },
    { CHUNKED "6\r\nfirst \r\n0", "first " },
    { CHUNKED "6\r\nfirst \r\n0\r\n", "first " },
    { LENGTH, "" },
    { LENGTH "first", "first" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      enum msg_result result = call ("GET", cases[i].response, cases[i].body);
      CU_ASSERT_EQUAL (result, MSG_RESULT_BROKEN);
      if (result != MSG_RESULT_BROKEN)
        g_print ("\ncase %u: %s\n", i, msg_result_name (result));
    }
}

static void
test_whole (void)
{
  static const struct
  {
    const char *method;
    const char *response;
    const char *body;
  } cases[] = {
    { "GET", CHUNKED "0\r\n\r\n", "" },
    { "GET", CHUNKED "6\r\nfirst \r\n0\r\n\r\n", "first " },
    { "GET", CHUNKED "6;a=b\r\nfirst \r\n0\r\nX-A: b\r\n\r\n", "first " },
    { "GET", LENGTH "first ", "first " },
    { "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst ", "first " },
    { "HEAD", CHUNKED, "" },
    { "HEAD", LENGTH, "" },
    { "GET", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
      "" },
    { "GET", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
      "" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      enum msg_result result
          = call (cases[i].method, cases[i].response, cases[i].body);
      CU_ASSERT_EQUAL (result, MSG_RESULT_OK);
      if (result != MSG_RESULT_OK)
        g_print ("\ncase %u: %s\n", i, msg_result_name (result));
    }
}

static CU_TestInfo tests[] = {
  { "cut", test_cut },
  { "whole", test_whole },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "cut responses", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
