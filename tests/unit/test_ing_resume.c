/* A stream whose engine fails is continued at another one, or ends with an
   error: what the client has must not come again, nothing may be left out, and
   a stream that is not whole must not look complete. The engines are sockets
   that give the responses of a script, one a request.  */
#include "unit/unit.h"

#include "entry/ingress.h"

#include <string.h>

#define WAIT_MS 5000        /* such a wait normally takes a few ms */
#define STALL_MS 200        /* limit for an engine that sends nothing */
#define WARMUP_TICKS 105    /* the next report to owners is not due at once */
#define TICKS_PER_REPORT 60 /* of tokens to owners, at least */
#define ENGINES 2
#define TEAM_KEY "key-of-crew"

static const char config[]
    = "[jacinthward]\npreset=ordinary\n"
      "[preset:ordinary]\nspill=anywhere\n[preset:peak]\nspill=anywhere\n"
      "[preset:maintenance]\nspill=anywhere\n"
      "[class:urgent]\ntier=0\nttft_ms=2000\ntbt_ms=200\ndeadline_ms=60000\n"
      "min_share=0.3\nmax_waiting=256\nreserved_waiting=16\nretry_share=0.5\n"
      "link_bytes_per_s=4000000\nspill=anywhere\n"
      "[class:short]\ntier=1\nttft_ms=200\ntbt_ms=200\ndeadline_ms=400\n"
      "min_share=0.1\nmax_waiting=256\nreserved_waiting=16\nretry_share=0.5\n"
      "link_bytes_per_s=4000000\nspill=anywhere\n"
      "[team:crew]\nkey_sha256=%s\nweight=1\nmax_running=0\n"
      "classes=urgent;short\n"
      "default_class=urgent\n"
      "[operator:ops]\ntoken_sha256=%s\nwrite=yes\n"
      "[domain:d]\nregion=r\n"
      "[model:m]\n"
      "[backend:e1]\naddress=%s\npool=m\ndomain=d\nmax_running=8\n"
      "[backend:e2]\naddress=%s\npool=m\ndomain=d\nmax_running=8\n";

/* How a response ends after its body. */
enum ending
{
  END_WHOLE, /* the framing's end */
  END_CUT,   /* the connection is closed before that */
  END_OPEN,  /* nothing more is sent */
  END_CLOSE, /* a response without a length, ended by closing */
  END_NEVER  /* comments without end follow */
};

struct step
{
  const char *body;
  enum ending ending;
  const char *status; /* NULL: "200 OK" */
  const char *type;   /* NULL: "text/event-stream" */
  const char *fields; /* further header lines; NULL: the position's */
};

/* A connection that an engine has accepted. */
struct link
{
  GSocket *socket;
  GString *received;
  gboolean endless; /* comments follow the response */
};

struct fixture
{
  struct clk_fake clk;
  struct counter_set counter_set;
  struct core *core;
  struct backend_client *backend_client;
  struct ingress *ingress;
  guint timer; /* GLib source of the core's ticks */
  GSocket *listeners[ENGINES];
  GPtrArray *links; /* struct link * */
  const struct step *steps;
  guint n_steps;
  GPtrArray *bodies; /* char *, of the requests that the engines got */
  const char *class; /* of the client's request; NULL: the team's */
  GSocket *client;
  GString *received; /* by the client, as on the wire */
  gboolean closed;   /* the client has seen the end of its connection */
  GString *body;     /* of the response, without its framing */
  gboolean whole;    /* the response's framing is complete */
  guint entries;     /* sent to owners that are other instances */
  guint told_tokens; /* in the last of them and in reports since then */
};

static void
note_tokens (struct fixture *f, const struct msg *msg)
{
  if (msg->kind == MSG_ENQUEUE)
    {
      f->entries++;
      f->told_tokens = msg->enqueue.generated;
    }
  if (msg->kind == MSG_PROGRESS)
    for (guint i = 0; i < msg->progress.n_items; i++)
      f->told_tokens += msg->progress.items[i].tokens;
}

static void
act (void *ctx, const struct core_action *action)
{
  struct fixture *f = ctx;
  if (action->kind == CORE_DO_SEND)
    note_tokens (f, action->send.msg);
  if (f->ingress != NULL)
    ingress_execute (f->ingress, action);
}

static void
handle (struct fixture *f, enum core_event_kind kind)
{
  const struct core_event event = { .kind = kind };
  core_handle (f->core, &event);
}

static gboolean
on_tick (gpointer data)
{
  struct fixture *f = data;
  f->clk.t += CORE_TICK_US;
  handle (f, CORE_TICK);
  return G_SOURCE_CONTINUE;
}

static void
set_config (struct fixture *f)
{
  char *sum = g_compute_checksum_for_string (G_CHECKSUM_SHA256, TEAM_KEY, -1);
  char *at[ENGINES];
  for (guint i = 0; i < ENGINES; i++)
    {
      GSocketAddress *address
          = g_socket_get_local_address (f->listeners[i], NULL);
      at[i] = g_strdup_printf (
          "127.0.0.1:%u",
          g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address)));
      g_object_unref (address);
    }
  char *text = g_strdup_printf (config, sum, sum, at[0], at[1]);
  struct msg msg = { .kind = MSG_OBJECT_BODY };
  struct core_event event = { .kind = CORE_MESSAGE };
  str_id_set (&msg.object_body.object, STR_LIT ("config"));
  msg.object_body.version = 1;
  msg.object_body.body = str_of (text);
  event.message.from = "peer";
  event.message.msg = &msg;
  core_handle (f->core, &event);
  CU_ASSERT_PTR_NOT_NULL_FATAL (core_config (f->core));
  for (guint i = 0; i < ENGINES; i++)
    g_free (at[i]);
  g_free (text);
  g_free (sum);
}

static GSocket *
new_socket (void)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

static void
listen_engines (struct fixture *f)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      GSocketAddress *any
          = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
      f->listeners[i] = new_socket ();
      CU_ASSERT_TRUE_FATAL (g_socket_bind (f->listeners[i], any, TRUE, NULL)
                            && g_socket_listen (f->listeners[i], NULL));
      g_object_unref (any);
    }
}

static void
free_link (gpointer data)
{
  struct link *link = data;
  g_clear_object (&link->socket);
  g_string_free (link->received, TRUE);
  g_free (link);
}

static void
start (struct fixture *f, const struct step *steps, guint n_steps)
{
  struct err err;
  memset (f, 0, sizeof *f);
  f->steps = steps;
  f->n_steps = n_steps;
  f->links = g_ptr_array_new_with_free_func (free_link);
  f->bodies = g_ptr_array_new_with_free_func (g_free);
  f->received = g_string_new (NULL);
  f->body = g_string_new (NULL);
  listen_engines (f);
  clk_fake_init (&f->clk, CLK_S);
  struct core_options core_options = {
    .clk = &f->clk.clk,
    .counter_set = &f->counter_set,
    .address = "127.0.0.1:1",
    .incarnation = 1,
    .chart_folder = JW_SOURCE_DIR "/charts",
    .act = act,
    .ctx = f,
  };
  str_id_set (&core_options.self, STR_LIT ("a"));
  str_id_set (&core_options.domain, STR_LIT ("d"));
  str_id_set (&core_options.region, STR_LIT ("r"));
  CU_ASSERT_EQUAL_FATAL (core_new (&core_options, &f->core, &err), 0);
  set_config (f);
  for (guint i = 0; i < WARMUP_TICKS; i++)
    on_tick (f);
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
                .client_stall_us = WAIT_MS * CLK_MS,
                .backend_stall_us = STALL_MS * CLK_MS },
  };
  CU_ASSERT_EQUAL_FATAL (ingress_new (&options, &f->ingress, &err), 0);
  f->timer = g_timeout_add (CORE_TICK_US / CLK_MS, on_tick, f);
}

static void
stop (struct fixture *f)
{
  g_source_remove (f->timer);
  g_clear_object (&f->client);
  ingress_free (g_steal_pointer (&f->ingress));
  backend_client_free (f->backend_client);
  core_free (f->core);
  for (guint i = 0; i < ENGINES; i++)
    g_object_unref (f->listeners[i]);
  g_ptr_array_unref (f->links);
  g_ptr_array_unref (f->bodies);
  g_string_free (f->received, TRUE);
  g_string_free (f->body, TRUE);
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

static void
send_bytes (GSocket *socket, const char *p, gsize n)
{
  while (n > 0)
    {
      gssize sent = g_socket_send (socket, p, n, NULL, NULL);
      if (sent < 0)
        return; /* the other side has closed the connection */
      p += sent;
      n -= (gsize)sent;
    }
}

/* Returns the header line that confirms the position in the request BODY, ""
   if there is none. Freed by g_free.  */
static char *
confirm_position (const char *body)
{
  static const char start[] = "{\"jacinthward_resume\":{\"tokens\":";
  if (!g_str_has_prefix (body, start))
    return g_strdup ("");
  return g_strdup_printf ("Jacinthward-Resumed: %" G_GUINT64_FORMAT "\r\n",
                          g_ascii_strtoull (body + strlen (start), NULL, 10));
}

static void
respond (struct link *link, const struct step *step, const char *body)
{
  GString *out = g_string_new (NULL);
  char *fields
      = step->fields ? g_strdup (step->fields) : confirm_position (body);
  g_string_append_printf (out, "HTTP/1.1 %s\r\nContent-Type: %s\r\n%s%s\r\n",
                          step->status ? step->status : "200 OK",
                          step->type ? step->type : "text/event-stream", fields,
                          step->ending == END_CLOSE
                              ? "Connection: close\r\n"
                              : "Transfer-Encoding: chunked\r\n");
  if (step->ending == END_CLOSE)
    g_string_append (out, step->body);
  else if (step->body[0] != '\0')
    g_string_append_printf (out, "%zx\r\n%s\r\n", strlen (step->body),
                            step->body);
  if (step->ending == END_WHOLE)
    g_string_append (out, "0\r\n\r\n");
  g_socket_set_blocking (link->socket, TRUE);
  send_bytes (link->socket, out->str, out->len);
  g_socket_set_blocking (link->socket, FALSE);
  link->endless = step->ending == END_NEVER;
  if (step->ending == END_CUT || step->ending == END_CLOSE)
    g_clear_object (&link->socket);
  g_string_free (out, TRUE);
  g_free (fields);
}

/* Returns the body of the request in TEXT once it is complete, or NULL.  */
static const char *
find_body (const char *text)
{
  const char *length = strstr (text, "Content-Length: ");
  const char *body = strstr (text, "\r\n\r\n");
  if (length == NULL || body == NULL
      || strlen (body + 4) < g_ascii_strtoull (
             length + strlen ("Content-Length: "), NULL, 10))
    return NULL;
  return body + 4;
}

static void
receive (GSocket *socket, GString *into, gboolean *closed)
{
  char buffer[16384];
  gssize n;
  while ((n = g_socket_receive (socket, buffer, sizeof buffer, NULL, NULL)) > 0)
    g_string_append_len (into, buffer, n);
  *closed |= n == 0;
}

static void
serve_link (struct fixture *f, struct link *link)
{
  gboolean closed = FALSE;
  if (link->socket == NULL)
    return;
  receive (link->socket, link->received, &closed);
  if (link->endless)
    send_bytes (link->socket, "5\r\n: x\n\n\r\n", 10);
  const char *body = find_body (link->received->str);
  if (body == NULL)
    return;
  g_ptr_array_add (f->bodies, g_strdup (body));
  g_string_truncate (link->received, 0);
  if (f->bodies->len <= f->n_steps)
    respond (link, &f->steps[f->bodies->len - 1],
             f->bodies->pdata[f->bodies->len - 1]);
  else
    g_clear_object (&link->socket);
}

static void
serve_engines (struct fixture *f)
{
  GSocket *socket;
  for (guint i = 0; i < ENGINES; i++)
    while ((socket = g_socket_accept (f->listeners[i], NULL, NULL)) != NULL)
      {
        struct link *link = g_new0 (struct link, 1);
        g_socket_set_blocking (socket, FALSE);
        link->socket = socket;
        link->received = g_string_new (NULL);
        g_ptr_array_add (f->links, link);
      }
  for (guint i = 0; i < f->links->len; i++)
    serve_link (f, f->links->pdata[i]);
}

/* Takes the body out of the client's response: chunks or a length.  */
static void
read_response (struct fixture *f)
{
  const char *at = strstr (f->received->str, "\r\n\r\n");
  if (at == NULL)
    return;
  at += 4;
  if (strstr (f->received->str, "chunked") == NULL)
    {
      g_string_assign (f->body, at);
      f->whole = TRUE;
      return;
    }
  while (strstr (at, "\r\n") != NULL)
    {
      char *end;
      gsize n = g_ascii_strtoull (at, &end, 16);
      f->whole = n == 0;
      if (f->whole || strlen (end + 2) < n)
        return;
      g_string_append_len (f->body, end + 2, (gssize)n);
      at = end + 2 + n + 2;
    }
}

static void
iterate (struct fixture *f)
{
  g_main_context_iteration (NULL, FALSE);
  serve_engines (f);
  receive (f->client, f->received, &f->closed);
  g_usleep (200);
}

static void
send_request (struct fixture *f, const char *path, const char *body)
{
  GSocketAddress *to = g_inet_socket_address_new_from_string (
      "127.0.0.1", ingress_port (f->ingress));
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Authorization: Bearer " TEAM_KEY "\r\nJacinthward-Class: %s\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      path, f->class ? f->class : "urgent", strlen (body), body);
  f->client = new_socket ();
  g_socket_set_blocking (f->client, TRUE);
  CU_ASSERT_TRUE_FATAL (g_socket_connect (f->client, to, NULL, NULL));
  send_bytes (f->client, text, strlen (text));
  g_socket_set_blocking (f->client, FALSE);
  g_object_unref (to);
  g_free (text);
}

static void
finish_request (struct fixture *f)
{
  gint64 end = g_get_monotonic_time () + WAIT_MS * CLK_MS;
  while (!f->closed && g_get_monotonic_time () < end)
    iterate (f);
  CU_ASSERT_TRUE (f->closed);
  read_response (f);
}

/* Sends a request with BODY to PATH and gets the response.  */
static void
request (struct fixture *f, const char *path, const char *body)
{
  send_request (f, path, body);
  finish_request (f);
}

#define TEXT_PATH "/v1/completions"
#define CHAT_PATH "/v1/chat/completions"
#define TEXT_REQUEST "{\"model\":\"m\",\"stream\":true,\"prompt\":\"x\"}"
#define CHAT_REQUEST                                                           \
  "{\"model\":\"m\",\"stream\":true,"                                          \
  "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
#define EVENT(choice) "data: {\"choices\":[{\"index\":0," choice "}]}\n\n"
#define TEXT(text) EVENT ("\"text\":\"" text "\"")
#define STOP EVENT ("\"text\":\"\",\"finish_reason\":\"stop\"")
#define DELTA(members) EVENT ("\"delta\":{" members "}")
#define DONE "data: [DONE]\n\n"
#define POSITION(tokens, text)                                                 \
  "{\"jacinthward_resume\":{\"tokens\":" tokens ",\"text\":\"" text "\"},"

/* Runs a request to PATH with BODY against engines that respond by STEPS.  */
#define RUN(f, path, body, ...)                                                \
  do                                                                           \
    {                                                                          \
      static const struct step steps[] = { __VA_ARGS__ };                      \
      start (f, steps, G_N_ELEMENTS (steps));                                  \
      request (f, path, body);                                                 \
    }                                                                          \
  while (0)

static const char *
request_body (const struct fixture *f, guint i)
{
  return i < f->bodies->len ? f->bodies->pdata[i] : "";
}

/* The stream is whole and consists of EXPECTED after N requests to engines.  */
static void
check_whole (const struct fixture *f, const char *expected, guint n)
{
  CU_ASSERT_EQUAL (f->bodies->len, n);
  CU_ASSERT_TRUE (f->whole);
  CU_ASSERT_STRING_EQUAL (f->body->str, expected);
  if (strcmp (f->body->str, expected) != 0)
    g_print ("\nbody: %s\n", f->body->str);
}

/* The stream consists of EXPECTED and then an error, after N requests to
   engines.  */
static void
check_error (const struct fixture *f, const char *expected, guint n)
{
  gboolean begun = g_str_has_prefix (f->body->str, expected);
  const char *rest = begun ? f->body->str + strlen (expected) : "";
  gboolean ok = g_str_has_prefix (rest, "data: {\"error\":")
                && strstr (rest, "choices") == NULL
                && strstr (rest, "[DONE]") == NULL;
  CU_ASSERT_EQUAL (f->bodies->len, n);
  CU_ASSERT_TRUE (ok);
  if (!ok || f->bodies->len != n)
    g_print ("\n%u requests, body: %s\n", f->bodies->len, f->body->str);
}

/* Each place before the end at which an engine may end a stream that can be
   continued. The position is that of the last whole event.  */
static void
test_interrupted (void)
{
  static const struct
  {
    const char *sent;     /* by the first engine */
    const char *relayed;  /* of it */
    const char *position; /* that the second engine gets */
    enum ending ending;
  } cases[] = {
    { "", "", TEXT_REQUEST, END_CUT },
    { "", "", TEXT_REQUEST, END_WHOLE },
    { "", "", TEXT_REQUEST, END_CLOSE },
    { "", "", TEXT_REQUEST, END_OPEN },
    { "data: {\"cho", "", TEXT_REQUEST, END_CUT },
    { TEXT ("a") "data: {\"cho", TEXT ("a"), POSITION ("1", "a"), END_CUT },
    { TEXT ("a") TEXT ("b"), TEXT ("a") TEXT ("b"), POSITION ("2", "ab"),
      END_CUT },
    { TEXT ("a"), TEXT ("a"), POSITION ("1", "a"), END_CLOSE },
    { TEXT ("a"), TEXT ("a"), POSITION ("1", "a"), END_WHOLE },
    { TEXT ("a"), TEXT ("a"), POSITION ("1", "a"), END_OPEN },
    { TEXT ("a") ": wait\n\n", TEXT ("a") ": wait\n\n", POSITION ("1", "a"),
      END_CUT },
    { TEXT ("a") TEXT (""), TEXT ("a") TEXT (""), POSITION ("1", "a"),
      END_CUT },
    { TEXT ("\\\"\\n\\u0001\\ud83d\\ude00"),
      TEXT ("\\\"\\n\\u0001\\ud83d\\ude00"),
      POSITION ("1", "\\\"\\n\\u0001\xf0\x9f\x98\x80"), END_CUT },
    { "data: {\"choices\":[{\"index\":0,\"text\":\"a\"}]}\r\n\r\n",
      "data: {\"choices\":[{\"index\":0,\"text\":\"a\"}]}\r\n\r\n",
      POSITION ("1", "a"), END_CUT },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct step steps[] = { { cases[i].sent, cases[i].ending },
                                    { TEXT ("z") DONE, END_WHOLE } };
      struct fixture f;
      char *expected = g_strconcat (cases[i].relayed, TEXT ("z") DONE, NULL);
      start (&f, steps, G_N_ELEMENTS (steps));
      request (&f, TEXT_PATH, TEXT_REQUEST);
      check_whole (&f, expected, 2);
      CU_ASSERT_TRUE (
          g_str_has_prefix (request_body (&f, 1), cases[i].position));
      stop (&f);
      g_free (expected);
    }
}

/* The engine that shall continue the stream rejects the position. The client
   got an end without an error, as if the stream were whole.  */
static void
test_position_rejected (void)
{
  struct fixture f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST, { TEXT ("a"), END_CUT },
       { "{\"error\":{}}", END_WHOLE, "400 Bad Request", "application/json" },
       { TEXT ("z") DONE, END_WHOLE });
  check_whole (&f, TEXT ("a") TEXT ("z") DONE, 3);
  stop (&f);
  RUN (&f, TEXT_PATH, TEXT_REQUEST, { TEXT ("a"), END_CUT },
       { "", END_WHOLE, "400 Bad Request" }, { "", END_WHOLE, "404 No" });
  check_error (&f, TEXT ("a"), 3);
  stop (&f);
}

/* An engine that does not know the position begins anew, and one that takes
   another position repeats or leaves out text. Only one that names the position
   continues the stream.  */
static void
test_position_ignored (void)
{
  static const char *const fields[]
      = { "X-Other: 1\r\n", "Jacinthward-Resumed: 0\r\n",
          "Jacinthward-Resumed: 2\r\n", "Jacinthward-Resumed: 1x\r\n",
          "Jacinthward-Resumed:\r\n" };
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      const struct step steps[]
          = { { TEXT ("a"), END_CUT },
              { TEXT ("a") TEXT ("b") DONE, END_WHOLE, NULL, NULL, fields[i] },
              { TEXT ("b") DONE, END_WHOLE } };
      struct fixture f;
      start (&f, steps, G_N_ELEMENTS (steps));
      request (&f, TEXT_PATH, TEXT_REQUEST);
      check_whole (&f, TEXT ("a") TEXT ("b") DONE, 3);
      stop (&f);
    }
}

/* A response that is no stream of events was split at its empty lines and
   relayed as events.  */
static void
test_other_type (void)
{
  struct fixture f;
  RUN (
      &f, TEXT_PATH, TEXT_REQUEST, { TEXT ("a"), END_CUT },
      { "<p>\n\n<p>", END_WHOLE, NULL, "text/html" },
      { TEXT ("z") DONE, END_WHOLE, NULL, "text/event-stream; charset=utf-8" });
  check_whole (&f, TEXT ("a") TEXT ("z") DONE, 3);
  stop (&f);
  RUN (&f, TEXT_PATH, TEXT_REQUEST,
       { "{}\n\n", END_WHOLE, NULL, "application/json" },
       { TEXT ("z") DONE, END_WHOLE });
  check_whole (&f, TEXT ("z") DONE, 2);
  stop (&f);
}

/* After [DONE] the stream is whole, however its engine ends. Another engine
   was asked to continue it, and its events followed.  */
static void
test_after_done (void)
{
  static const enum ending endings[]
      = { END_WHOLE, END_CUT, END_OPEN, END_CLOSE, END_NEVER };
  for (guint i = 0; i < G_N_ELEMENTS (endings); i++)
    {
      const struct step steps[]
          = { { TEXT ("a") DONE, endings[i] }, { TEXT ("z") DONE, END_WHOLE } };
      struct fixture f;
      start (&f, steps, G_N_ELEMENTS (steps));
      request (&f, TEXT_PATH, TEXT_REQUEST);
      check_whole (&f, TEXT ("a") DONE, 1);
      stop (&f);
    }
}

/* Once the engine has given a reason for the end of the text, no other one
   may add to it.  */
static void
test_after_finish (void)
{
  struct fixture f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST, { TEXT ("a") STOP, END_CUT },
       { TEXT ("z") DONE, END_WHOLE });
  check_error (&f, TEXT ("a") STOP, 1);
  stop (&f);
}

/* The position holds the text of one choice only. A stream with anything else
   must not be continued by it.  */
static void
test_not_only_text (void)
{
  static const struct
  {
    const char *path;
    const char *body;
    const char *sent;
  } cases[] = {
    /* several choices */
    { TEXT_PATH, TEXT_REQUEST,
      TEXT ("a") "data: {\"choices\":[{\"index\":1,\"text\":\"b\"}]}\n\n" },
    { TEXT_PATH, TEXT_REQUEST,
      "data: {\"choices\":[{\"index\":0,\"text\":\"a\"},"
      "{\"index\":1,\"text\":\"b\"}]}\n\n" },
    /* tool calls and the like */
    { CHAT_PATH, CHAT_REQUEST,
      DELTA ("\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":"
             "\"{\"}}]") },
    { CHAT_PATH, CHAT_REQUEST,
      DELTA ("\"content\":\"a\"") DELTA ("\"refusal\":\"no\"") },
    /* text that the position cannot hold */
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("b\\u0000c") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("\\u0000") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("\\ud83d") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("\\ude00") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") TEXT ("b\xff") },
    /* other contents */
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") "data: {\"text\":\n\n" },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") "data: 7\n\n" },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") EVENT ("\"text\":7") },
    { TEXT_PATH, TEXT_REQUEST,
      TEXT ("a") "data: {\"error\":{\"message\":\"x\"}}\n\n" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct step steps[]
          = { { cases[i].sent, END_CUT }, { TEXT ("z") DONE, END_WHOLE } };
      struct fixture f;
      start (&f, steps, G_N_ELEMENTS (steps));
      request (&f, cases[i].path, cases[i].body);
      check_error (&f, cases[i].sent, 1);
      stop (&f);
    }
}

/* The request asks for several choices, of which the first has come so far, or
   for the prompt before the text.  */
static void
test_other_text_asked (void)
{
  static const char *const asked[]
      = { "{\"n\":2,\"model\":\"m\",\"stream\":true,\"prompt\":\"x\"}",
          "{\"echo\":true,\"model\":\"m\",\"stream\":true,\"prompt\":\"x\"}" };
  for (guint i = 0; i < G_N_ELEMENTS (asked); i++)
    {
      struct fixture f;
      RUN (&f, TEXT_PATH, asked[i], { TEXT ("a"), END_CUT },
           { TEXT ("z") DONE, END_WHOLE });
      check_error (&f, TEXT ("a"), 1);
      stop (&f);
    }
}

/* An event's data may stand in several lines. Only the first was read.  */
static void
test_data_lines (void)
{
  struct fixture f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST,
       { "data: {\"choices\":[{\"index\":0,\n: x\ndata: \"text\":\"a\"}]}\n\n",
         END_CUT },
       { TEXT ("z") DONE, END_WHOLE });
  CU_ASSERT_EQUAL (f.bodies->len, 2);
  CU_ASSERT_TRUE (g_str_has_prefix (request_body (&f, 1), POSITION ("1", "a")));
  stop (&f);
}

/* A stream may begin with a byte order mark. It hid the first event, so that
   its text came again.  */
static void
test_byte_order_mark (void)
{
#define MARK "\xef\xbb\xbf"
  struct fixture f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST, { MARK TEXT ("a"), END_CUT },
       { MARK TEXT ("z") DONE, END_WHOLE });
  check_whole (&f, TEXT ("a") TEXT ("z") DONE, 2);
  CU_ASSERT_TRUE (g_str_has_prefix (request_body (&f, 1), POSITION ("1", "a")));
  stop (&f);
}

/* Each engine begins with the role, of which the client needs one.  */
static void
test_role (void)
{
#define ROLE DELTA ("\"role\":\"assistant\",\"content\":\"\"")
  struct fixture f;
  RUN (&f, CHAT_PATH, CHAT_REQUEST, { ROLE, END_CUT },
       { ROLE DELTA ("\"content\":\"z\"") DONE, END_WHOLE });
  check_whole (&f, ROLE DELTA ("\"content\":\"z\"") DONE, 2);
  stop (&f);
  RUN (&f, CHAT_PATH, CHAT_REQUEST,
       { ROLE DELTA ("\"content\":\"a\""), END_CUT },
       { ROLE DELTA ("\"content\":\"z\"") DONE, END_WHOLE });
  check_whole (
      &f, ROLE DELTA ("\"content\":\"a\"") DELTA ("\"content\":\"z\"") DONE, 2);
  CU_ASSERT_TRUE (g_str_has_prefix (request_body (&f, 1), POSITION ("1", "a")));
  stop (&f);
}

/* The position is the product's own. A client that names one would have two of
   them in the body.  */
static void
test_position_of_client (void)
{
  struct fixture f;
  RUN (&f, TEXT_PATH,
       POSITION ("1", "a") "\"model\":\"m\",\"stream\":true,\"prompt\":\"x\"}",
       { TEXT ("b"), END_CUT }, { TEXT ("z") DONE, END_WHOLE });
  CU_ASSERT_EQUAL (f.bodies->len, 0);
  CU_ASSERT_TRUE (g_str_has_prefix (f.received->str, "HTTP/1.1 400"));
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received->str, "bad_request"));
  stop (&f);
}

/* Text up to the limit is continued whole, a longer one not at all.  */
static void
test_longest_text (void)
{
  for (guint extra = 0; extra < 2; extra++)
    {
      struct fixture f;
      char *text = g_strnfill (64 * 1024 - 1 + extra, 'x');
      char *first = g_strconcat ("data: {\"choices\":[{\"index\":0,\"text\":\"",
                                 text, "\"}]}\n\n", TEXT ("y"), NULL);
      char *position
          = g_strconcat ("{\"jacinthward_resume\":{\"tokens\":2,\"text\":\"",
                         text, "y\"},", NULL);
      char *whole = g_strconcat (first, TEXT ("z") DONE, NULL);
      const struct step steps[]
          = { { first, END_CUT }, { TEXT ("z") DONE, END_WHOLE } };
      start (&f, steps, G_N_ELEMENTS (steps));
      request (&f, TEXT_PATH, TEXT_REQUEST);
      if (extra > 0)
        check_error (&f, first, 1);
      else
        {
          check_whole (&f, whole, 2);
          CU_ASSERT_TRUE (g_str_has_prefix (request_body (&f, 1), position));
        }
      stop (&f);
      g_free (whole);
      g_free (position);
      g_free (first);
      g_free (text);
    }
}

/* Lines that end with CR alone, of which no event is complete.  */
static void
test_cr_lines (void)
{
  struct fixture f;
  RUN (&f, TEXT_PATH, TEXT_REQUEST,
       { TEXT ("a") "data: {\"choices\":[]}\r\rdata: [DONE]\r\r", END_CLOSE },
       { TEXT ("z") DONE, END_WHOLE });
  check_whole (&f, TEXT ("a") TEXT ("z") DONE, 2);
  stop (&f);
}

/* A response that is not a stream, and is cut off at a place where its framing
   does not show it: between two chunks, or without a length. The client got it
   as a complete one.  */
static void
test_cut_object (void)
{
  static const struct
  {
    const char *body;
    enum ending ending;
  } cases[] = { { "{\"choices\":[{\"te", END_CUT },
                { "{\"choices\":[{\"te", END_CLOSE },
                { "", END_WHOLE } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct step steps[]
          = { { cases[i].body, cases[i].ending, NULL, "application/json" },
              { "{\"choices\":[]}", END_WHOLE, NULL, "application/json" } };
      struct fixture f;
      start (&f, steps, G_N_ELEMENTS (steps));
      request (&f, TEXT_PATH, "{\"model\":\"m\",\"prompt\":\"x\"}");
      CU_ASSERT_EQUAL (f.bodies->len, 2);
      CU_ASSERT_STRING_EQUAL (f.body->str, "{\"choices\":[]}");
      stop (&f);
    }
}

/* A shard owner takes the server away while the stream is one that cannot be
   continued: it goes on.  */
static void
preempt (struct fixture *f)
{
  struct msg msg = { .kind = MSG_PREEMPT };
  struct core_event event = { .kind = CORE_MESSAGE };
  msg.preempt.queue_entry = 1;
  event.message.from = "a";
  event.message.msg = &msg;
  core_handle (f->core, &event);
}

static void
test_preempted (void)
{
  static const struct
  {
    const char *path;
    const char *body;
    const char *sent;
    const char *position; /* NULL: not preempted */
  } cases[] = {
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a"), POSITION ("1", "a") },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") STOP, NULL },
    { TEXT_PATH, TEXT_REQUEST, TEXT ("a") DONE, NULL },
    { CHAT_PATH, CHAT_REQUEST,
      DELTA ("\"tool_calls\":[{\"index\":0,\"id\":\"a\"}]"), NULL },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct step steps[]
          = { { cases[i].sent, END_OPEN }, { TEXT ("z") DONE, END_WHOLE } };
      struct fixture f;
      start (&f, steps, G_N_ELEMENTS (steps));
      send_request (&f, cases[i].path, cases[i].body);
      while (strstr (f.received->str, "choices") == NULL)
        iterate (&f);
      preempt (&f);
      finish_request (&f);
      CU_ASSERT_EQUAL (f.bodies->len, cases[i].position ? 2 : 1);
      if (cases[i].position != NULL)
        CU_ASSERT_TRUE (
            g_str_has_prefix (request_body (&f, 1), cases[i].position));
      /* The owner is told of the new or the changed entry. */
      CU_ASSERT_EQUAL (f.counter_set.v[COUNTER_ENQUEUED], 2);
      CU_ASSERT_EQUAL (f.counter_set.v[COUNTER_CANCELS],
                       cases[i].position ? 1 : 0);
      stop (&f);
    }
}

/* Comments without end keep a stream open, for an engine may send them while it
   works on a long prompt, but not longer than the deadline of its class.  */
static void
test_endless_comments (void)
{
  static const struct step steps[] = { { TEXT ("a"), END_NEVER } };
  struct fixture f;
  start (&f, steps, G_N_ELEMENTS (steps));
  f.class = "short";
  request (&f, TEXT_PATH, TEXT_REQUEST);
  const char *error = strstr (f.body->str, "data: {\"error\":");
  CU_ASSERT_TRUE (g_str_has_prefix (f.body->str, TEXT ("a") ": x\n\n"));
  CU_ASSERT_PTR_NOT_NULL (error);
  CU_ASSERT_PTR_NULL (strstr (f.body->str, "[DONE]"));
  stop (&f);
}

/* An instance that becomes the owner of the shard while the stream runs learns
   each token once, from the entry or from a report.  */
static void
test_new_owner (void)
{
  struct fixture f;
  static const struct step steps[] = { { TEXT ("a") TEXT ("b"), END_OPEN } };
  start (&f, steps, G_N_ELEMENTS (steps));
  send_request (&f, TEXT_PATH, TEXT_REQUEST);
  while (strstr (f.received->str, "\"b\"") == NULL)
    iterate (&f);
  for (char id[] = "b"; id[0] <= 'z' && f.entries == 0; id[0]++)
    {
      struct msg msg = { .kind = MSG_HEARTBEAT };
      struct core_event event = { .kind = CORE_MESSAGE };
      msg.heartbeat.incarnation = 1;
      msg.heartbeat.sequence = 1;
      msg.heartbeat.config_version = 1;
      str_id_set (&msg.heartbeat.domain, STR_LIT ("d"));
      str_id_set (&msg.heartbeat.region, STR_LIT ("r"));
      g_strlcpy (msg.heartbeat.address, "127.0.0.1:2",
                 sizeof msg.heartbeat.address);
      event.message.from = id;
      event.message.msg = &msg;
      core_handle (f.core, &event);
      on_tick (&f);
    }
  CU_ASSERT_EQUAL (f.entries, 1);
  for (guint i = 0; i < TICKS_PER_REPORT; i++)
    on_tick (&f);
  CU_ASSERT_EQUAL (f.told_tokens, 2);
  stop (&f);
}

static CU_TestInfo tests[] = {
  { "interrupted", test_interrupted },
  { "the position is rejected", test_position_rejected },
  { "the position is ignored", test_position_ignored },
  { "a response of another type", test_other_type },
  { "after [DONE]", test_after_done },
  { "after the reason of the end", test_after_finish },
  { "not only text", test_not_only_text },
  { "other text is asked for", test_other_text_asked },
  { "data in several lines", test_data_lines },
  { "a byte order mark", test_byte_order_mark },
  { "the role", test_role },
  { "a position of the client", test_position_of_client },
  { "the longest text", test_longest_text },
  { "lines that end with CR", test_cr_lines },
  { "a cut object", test_cut_object },
  { "preempted", test_preempted },
  { "comments without end", test_endless_comments },
  { "a new owner", test_new_owner },
  CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
  { "ingress resume", NULL, NULL, NULL, NULL, tests },
  CU_SUITE_INFO_NULL,
};

UNIT_MAIN (suites)
