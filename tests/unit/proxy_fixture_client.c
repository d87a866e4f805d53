#include "unit/proxy_fixture.h"

static void
proxy_test_client_data (void *ctx, struct str data)
{
  struct proxy_test_client *client = ctx;
  g_string_append_len (client->in, data.p, (gssize)data.n);
}

static void
proxy_test_client_ended (void *ctx)
{
  ((struct proxy_test_client *)ctx)->ended = TRUE;
}

static void
proxy_test_client_failed (void *ctx, const struct err *err)
{
  struct proxy_test_client *client = ctx;
  (void)err;
  client->ended = client->reset = TRUE;
}

gboolean
proxy_test_has_ended (void *ctx)
{
  return ((const struct proxy_test_client *)ctx)->ended;
}

static const struct tcp_conn_handler proxy_test_client_handler
    = { .data = proxy_test_client_data,
        .ended = proxy_test_client_ended,
        .failed = proxy_test_client_failed };

struct proxy_test_client *
proxy_test_open_client_port (guint port)
{
  struct proxy_test_client *client = g_new0 (struct proxy_test_client, 1);
  struct err err = { 0 };
  char address[ERR_PEER_MAX];
  const struct tcp_conn_options options
      = { .handler = &proxy_test_client_handler, .ctx = client };
  g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
  client->in = g_string_new (NULL);
  client->tcp_conn = tcp_conn_connect (address, &options, &err);
  g_assert_nonnull (client->tcp_conn);
  return client;
}

struct proxy_test_client *
proxy_test_open_client (void)
{
  return proxy_test_open_client_port (proxy_port (proxy_test.reverse_proxy));
}

void
proxy_test_close_client (struct proxy_test_client *client)
{
  tcp_conn_close (client->tcp_conn);
  g_string_free (client->in, TRUE);
  g_free (client);
}

void
proxy_test_send_text (struct proxy_test_client *client, const char *text)
{
  tcp_conn_write (client->tcp_conn, text, strlen (text));
}

/* Sends a request with the team's key and a new request id. FIELDS are further
   header lines.  */
void
proxy_test_send_request (struct proxy_test_client *client, const char *path,
                         const char *fields)
{
  char *text = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: a.example\r\n"
                                "X-Request-Id: r%u\r\n"
                                "Authorization: Bearer " PROXY_TEST_KEY "\r\n"
                                "%sContent-Length: 4\r\n\r\nbody",
                                path, ++proxy_test.n_ids, fields);
  proxy_test_send_text (client, text);
  g_free (text);
}

static gboolean
proxy_test_response_head (void *ctx, const struct http_head *head)
{
  struct proxy_test_response *response = ctx;
  struct str value;
  response->status = head->status;
  response->closes = http_head_lists (head, "connection", STR_LIT ("close"));
  if (http_head_get (head, "retry-after", &value))
    response->retry_after = str_dup (value);
  return TRUE;
}

static gboolean
proxy_test_response_body (void *ctx, struct str bytes)
{
  struct proxy_test_response *response = ctx;
  g_string_append_len (response->body, bytes.p, (gssize)bytes.n);
  return TRUE;
}

static void
proxy_test_response_end (void *ctx)
{
  ((struct proxy_test_response *)ctx)->complete = TRUE;
}

void
proxy_test_response_clear (struct proxy_test_response *response)
{
  g_string_free (response->body, TRUE);
  g_free (response->retry_after);
}

/* Parses the first response in the received bytes and, if it is complete,
   removes it from them.  */
struct proxy_test_response
proxy_test_parse_response (struct proxy_test_client *client)
{
  static const struct http_reader_handler handler
      = { proxy_test_response_head, proxy_test_response_body,
          proxy_test_response_end };
  struct proxy_test_response response = { .body = g_string_new (NULL) };
  struct err err = { 0 };
  struct http_reader *http_reader = http_reader_new (TRUE, &handler, &response);
  gssize n = http_reader_feed (
      http_reader, (struct str){ client->in->str, client->in->len }, &err);
  response.malformed = n < 0;
  if (n > 0 && response.complete)
    g_string_erase (client->in, 0, n);
  http_reader_free (http_reader);
  return response;
}

gboolean
proxy_test_has_response (void *ctx)
{
  struct proxy_test_client *client = ctx;
  gsize n = client->in->len;
  char *copy = g_memdup2 (client->in->str, n + 1);
  struct proxy_test_response response = proxy_test_parse_response (client);
  gboolean complete = response.complete;
  proxy_test_response_clear (&response);
  g_string_truncate (client->in, 0);
  g_string_append_len (client->in, copy, (gssize)n);
  g_free (copy);
  return complete || client->ended;
}

/* Waits for a complete response or the end of the connection.  */
struct proxy_test_response
proxy_test_wait_response (struct proxy_test_client *client)
{
  CU_ASSERT_TRUE (proxy_test_wait_until (proxy_test_has_response, client,
                                         PROXY_TEST_WAIT_MS));
  return proxy_test_parse_response (client);
}

/* Sends a request on a new connection and returns the response.  */
struct proxy_test_response
proxy_test_request_once (const char *path, const char *fields)
{
  struct proxy_test_client *client = proxy_test_open_client ();
  proxy_test_send_request (client, path, fields);
  struct proxy_test_response response = proxy_test_wait_response (client);
  proxy_test_close_client (client);
  return response;
}

guint
proxy_test_request_status (const char *path, const char *fields)
{
  struct proxy_test_response response = proxy_test_request_once (path, fields);
  guint status = response.status;
  proxy_test_response_clear (&response);
  return status;
}

guint
proxy_test_n_requests (void)
{
  return proxy_test.requests->len;
}

struct proxy_test_request *
proxy_test_request_at (guint i)
{
  return g_ptr_array_index (proxy_test.requests, i);
}

void
proxy_test_script_all (proxy_test_script script)
{
  for (guint i = 0; i < PROXY_TEST_SERVERS; i++)
    proxy_test.servers[i].script = script;
}

/* Sends a response of PROXY_TEST_LONG_BYTES.  */
void
proxy_test_respond_long (struct proxy_test_link *link,
                         struct proxy_test_request *request)
{
  char *body = g_strnfill (PROXY_TEST_LONG_BYTES, 'x');
  proxy_test_respond (link, request, "200 OK", PROXY_TEST_SIGNED, body);
  g_free (body);
}

/* Returns a blocking socket that is connected to the proxy. SMALL_BUFFER: the
   kernel holds few unread bytes for it.  */
int
proxy_test_connect_socket (gboolean small_buffer)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int bytes = PROXY_TEST_RECEIVE_BUFFER_BYTES;
  const struct timeval read_timeout = { .tv_sec = 1 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  to.sin_port = htons ((guint16)proxy_port (proxy_test.reverse_proxy));
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &read_timeout, sizeof read_timeout);
  if (small_buffer)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&to, sizeof to), ==, 0);
  return fd;
}

/* Opens a client that reads nothing until its connection is resumed.  */
struct proxy_test_client *
proxy_test_open_stalled_client (void)
{
  struct proxy_test_client *client = g_new0 (struct proxy_test_client, 1);
  const struct tcp_conn_options options
      = { .handler = &proxy_test_client_handler, .ctx = client };
  int fd = proxy_test_connect_socket (TRUE);
  g_unix_set_fd_nonblocking (fd, TRUE, NULL);
  client->in = g_string_new (NULL);
  client->tcp_conn = tcp_conn_adopt (fd, &options);
  tcp_conn_pause (client->tcp_conn, TRUE);
  return client;
}
