/* The client of a case.  */
#include "explore/explore_world.h"

#define PIECE_MS 1
#define BACK_MAX 2      /* times that a client comes back */
#define NAMED_EVENT "2" /* that a client names which resumes */
#define SLOW_MS 20      /* before a slow client reads */
#define AFTER_LEAVING_MS 60

/* Makes the record of a request.  */
static struct explore_request *
new_request (const char *after)
{
  struct explore_request *request = g_new0 (struct explore_request, 1);
  g_snprintf (request->id, sizeof request->id, "q%u",
              explore_world.requests->len + 1);
  request->after = after;
  request->body = g_string_new (NULL);
  if (explore_world.c.client == EXPLORE_CLIENT_SHORT)
    request->deadline_ms = explore_short_ms ();
  g_ptr_array_add (explore_world.requests, request);
  return request;
}

/* Returns the text of REQUEST, to be freed.  */
static char *
request_text (const struct explore_request *request)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n"
      "Authorization: Bearer " PROXY_TEST_KEY "\r\nContent-Length: 10\r\n"
      "X-Prompt-Parts: shared:9,own:9\r\n",
      explore_path (explore_world.c.route), request->id);
  if (request->after[0] != '\0')
    g_string_append_printf (text, "Last-Event-ID: %s\r\n", request->after);
  if (request->resumes != NULL)
    g_string_append_printf (text, "X-Resumes: %s\r\n", request->resumes);
  if (request->deadline_ms > 0)
    g_string_append_printf (text, "X-Deadline-Ms: %u\r\n",
                            request->deadline_ms);
  g_string_append (text, "\r\nbody body.");
  return g_string_free (text, FALSE);
}

static void
send_request (struct proxy_test_client *client, struct explore_request *request)
{
  char *text = request_text (request);
  proxy_test_send_text (client, text);
  request->sent = TRUE;
  g_free (text);
}

static void
send_pieces (struct proxy_test_client *client, struct explore_request *request)
{
  char *text = request_text (request);
  const gsize cuts[] = { 12, strlen (text) / 2, strlen (text) - 5 };
  gsize from = 0;
  for (guint i = 0; i < G_N_ELEMENTS (cuts); i++)
    {
      char *piece = g_strndup (text + from, cuts[i] - from);
      proxy_test_send_text (client, piece);
      g_free (piece);
      from = cuts[i];
      proxy_test_run_for (PIECE_MS);
    }
  proxy_test_send_text (client, text + from);
  request->sent = TRUE;
  g_free (text);
}

/* Takes the first response that CLIENT has received for REQUEST.  */
static gboolean
take_response (struct proxy_test_client *client,
               struct explore_request *request)
{
  const char *end = strstr (client->in->str, "\r\n\r\n");
  const char *mark = strstr (client->in->str, "X-Signature:");
  request->is_signed = end != NULL && mark != NULL && mark < end;
  struct proxy_test_response response = proxy_test_parse_response (client);
  request->status = response.status;
  request->complete = response.complete;
  request->malformed = response.malformed;
  request->ended = client->ended;
  g_string_assign (request->body, response.body->str);
  gboolean more = response.complete && !response.closes && !client->ended;
  if (!response.complete)
    g_string_truncate (client->in, 0);
  proxy_test_response_clear (&response);
  return more;
}

/* Waits for the response to REQUEST. Returns whether the connection can carry
   another request.  */
static gboolean
await_response (struct proxy_test_client *client,
                struct explore_request *request)
{
  if (!proxy_test_wait_until (proxy_test_has_response, client,
                              EXPLORE_STUCK_MS))
    explore_break (explore_world.result, EXPLORE_RULE_STUCK,
                   "%s has no response after %d ms", request->id,
                   EXPLORE_STUCK_MS);
  return take_response (client, request);
}

static void
close_client (struct proxy_test_client *client)
{
  g_string_append (explore_world.surplus, client->in->str);
  proxy_test_close_client (client);
}

static gboolean
has_head (void *ctx)
{
  const struct proxy_test_client *client = ctx;
  return client->ended || strstr (client->in->str, "data: ") != NULL
         || strstr (client->in->str, "\r\n\r\n") != NULL;
}

static gboolean
has_arrived (void *ctx)
{
  (void)ctx;
  return explore_world.arrivals->len > 0;
}

static void
leave (struct proxy_test_client *client, struct explore_request *request)
{
  take_response (client, request);
  request->complete = FALSE;
  request->left_at = g_get_monotonic_time ();
  g_string_truncate (client->in, 0);
  close_client (client);
  proxy_test_run_for (AFTER_LEAVING_MS);
}

/* Returns the id of the last event in BODY, if that event has one; "" if not.
   The result is static.  */
static const char *
last_named_event (const GString *body)
{
  static char id[256];
  const char *start = strrchr (body->str, 'i');
  id[0] = '\0';
  for (const char *p = body->str; (p = strstr (p, "id: ")) != NULL; p++)
    start = p;
  if (start == NULL || !g_str_has_prefix (start, "id: "))
    return id;
  gsize n = strcspn (start + 4, "\r\n");
  const char *rest = strstr (start, "\n\n");
  if (rest == NULL)
    rest = strstr (start, "\r\r");
  if (rest != NULL && rest[2] == '\0' && n < sizeof id)
    {
      memcpy (id, start + 4, n);
      id[n] = '\0';
    }
  return id;
}

/* Returns the id of the first request that has brought an event, borrowed;
   NULL: none has.  */
static const char *
first_with_event (void)
{
  for (guint i = 0; i < explore_world.requests->len; i++)
    {
      const struct explore_request *request
          = g_ptr_array_index (explore_world.requests, i);
      if (strstr (request->body->str, "data: ") != NULL)
        return request->id;
    }
  return NULL;
}

static void
come_back (void)
{
  static char after[BACK_MAX][256];
  for (guint i = 0; i < BACK_MAX; i++)
    {
      struct explore_request *before = g_ptr_array_index (
          explore_world.requests, explore_world.requests->len - 1);
      const char *id = last_named_event (before->body);
      if (before->complete || before->status != 200
          || (id[0] == '\0' && before->body->len > 0))
        return;
      g_strlcpy (after[i], id[0] != '\0' ? id : before->after, sizeof after[i]);
      struct explore_request *request = new_request (after[i]);
      request->resumes = first_with_event ();
      struct proxy_test_client *client = proxy_test_open_client ();
      send_request (client, request);
      await_response (client, request);
      close_client (client);
    }
}

/* Plays a client that waits for its responses.  */
static void
play_waiting (void)
{
  enum explore_client how = explore_world.c.client;
  struct explore_request *request
      = new_request (how == EXPLORE_CLIENT_AFTER ? NAMED_EVENT : "");
  struct explore_request *second
      = how == EXPLORE_CLIENT_PIPELINE ? new_request ("") : NULL;
  struct proxy_test_client *client = how == EXPLORE_CLIENT_SLOW
                                         ? proxy_test_open_stalled_client ()
                                         : proxy_test_open_client ();
  if (how == EXPLORE_CLIENT_PIECES)
    send_pieces (client, request);
  else
    send_request (client, request);
  if (second != NULL)
    send_request (client, second);
  if (how == EXPLORE_CLIENT_SLOW)
    {
      proxy_test_run_for (SLOW_MS);
      tcp_conn_pause (client->tcp_conn, FALSE);
    }
  gboolean more = await_response (client, request);
  if (more && how == EXPLORE_CLIENT_NEXT)
    {
      proxy_test_run_for (PIECE_MS);
      second = new_request ("");
      explore_send_extra ();
      send_request (client, second);
    }
  if (more && second != NULL)
    await_response (client, second);
  else if (second != NULL)
    second->sent = FALSE; /* it crossed the end of the connection */
  close_client (client);
  if (how == EXPLORE_CLIENT_BACK)
    come_back ();
}

static void
play_leaving (void)
{
  struct explore_request *request = new_request ("");
  struct proxy_test_client *client = proxy_test_open_client ();
  if (explore_world.c.client == EXPLORE_CLIENT_LEAVE_EARLY)
    {
      char *text = request_text (request);
      text[strlen (text) / 2] = '\0';
      proxy_test_send_text (client, text);
      g_free (text);
      proxy_test_run_for (PIECE_MS);
      leave (client, request);
      return;
    }
  send_request (client, request);
  if (explore_world.c.client == EXPLORE_CLIENT_LEAVE_HEAD)
    proxy_test_wait_until (has_arrived, NULL, explore_timeout_ms ());
  else
    proxy_test_wait_until (has_head, client, explore_timeout_ms ());
  leave (client, request);
}

void
explore_play_client (void)
{
  switch (explore_world.c.client)
    {
    case EXPLORE_CLIENT_READ:
    case EXPLORE_CLIENT_PIECES:
    case EXPLORE_CLIENT_SLOW:
    case EXPLORE_CLIENT_SHORT:
    case EXPLORE_CLIENT_AFTER:
    case EXPLORE_CLIENT_BACK:
    case EXPLORE_CLIENT_PIPELINE:
    case EXPLORE_CLIENT_NEXT:
      play_waiting ();
      return;
    case EXPLORE_CLIENT_LEAVE_EARLY:
    case EXPLORE_CLIENT_LEAVE_HEAD:
    case EXPLORE_CLIENT_LEAVE_EVENT:
      play_leaving ();
      return;
    case EXPLORE_CLIENT_N:
      return;
    }
}
