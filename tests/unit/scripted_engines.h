/* An ingress with a core of its own, a client, and engines that are sockets and
   give the responses of a script, one a request.  */
#ifndef SCRIPTED_ENGINES_H
#define SCRIPTED_ENGINES_H

#include "unit/unit.h"

#include "entry/ingress.h"

#include <string.h>

#define SCRIPTED_WAIT_MS 5000 /* such a wait normally takes a few ms */
#define SCRIPTED_STALL_MS 500 /* limit for an engine that sends nothing */
/* After these the next report of tokens to owners is not due at once. */
#define SCRIPTED_WARMUP_TICKS 105
#define SCRIPTED_ENGINES 2
#define SCRIPTED_TEAM_KEY "key-of-crew"

static const char scripted_config[]
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
enum scripted_ending
{
  END_WHOLE, /* the framing's end */
  END_CUT,   /* the connection is closed before that */
  END_OPEN,  /* nothing more is sent */
  END_CLOSE, /* a response without a length, ended by closing */
  END_NEVER  /* comments without end follow */
};

struct scripted_step
{
  const char *body;
  enum scripted_ending ending;
  const char *status; /* NULL: "200 OK" */
  const char *type;   /* NULL: "text/event-stream" */
  const char *fields; /* further header lines; NULL: the position's */
};

/* A connection that an engine has accepted. */
struct scripted_link
{
  GSocket *socket;
  GString *received;
  gboolean endless; /* comments follow the response */
};

struct scripted
{
  struct clk_fake clk;
  struct counter_set counter_set;
  struct core *core;
  struct backend_client *backend_client;
  struct ingress *ingress;
  guint timer; /* GLib source of the core's ticks */
  GSocket *listeners[SCRIPTED_ENGINES];
  GPtrArray *links; /* struct scripted_link * */
  const struct scripted_step *steps;
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

static inline void
scripted_note_tokens (struct scripted *f, const struct msg *msg)
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

static inline void
scripted_act (void *ctx, const struct core_action *action)
{
  struct scripted *f = ctx;
  if (action->kind == CORE_DO_SEND)
    scripted_note_tokens (f, action->send.msg);
  if (f->ingress != NULL)
    ingress_execute (f->ingress, action);
}

static inline gboolean
scripted_tick (gpointer data)
{
  struct scripted *f = data;
  const struct core_event event = { .kind = CORE_TICK };
  f->clk.t += CORE_TICK_US;
  core_handle (f->core, &event);
  return G_SOURCE_CONTINUE;
}

static inline void
scripted_set_config (struct scripted *f)
{
  char *sum = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                             SCRIPTED_TEAM_KEY, -1);
  char *at[SCRIPTED_ENGINES];
  for (guint i = 0; i < SCRIPTED_ENGINES; i++)
    {
      GSocketAddress *address
          = g_socket_get_local_address (f->listeners[i], NULL);
      at[i] = g_strdup_printf (
          "127.0.0.1:%u",
          g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address)));
      g_object_unref (address);
    }
  char *text = g_strdup_printf (scripted_config, sum, sum, at[0], at[1]);
  struct msg msg = { .kind = MSG_OBJECT_BODY };
  struct core_event event = { .kind = CORE_MESSAGE };
  str_id_set (&msg.object_body.object, STR_LIT ("config"));
  msg.object_body.version = 1;
  msg.object_body.body = str_of (text);
  event.message.from = "peer";
  event.message.msg = &msg;
  core_handle (f->core, &event);
  CU_ASSERT_PTR_NOT_NULL_FATAL (core_config (f->core));
  for (guint i = 0; i < SCRIPTED_ENGINES; i++)
    g_free (at[i]);
  g_free (text);
  g_free (sum);
}

static inline GSocket *
scripted_socket (void)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

static inline void
scripted_listen (struct scripted *f)
{
  for (guint i = 0; i < SCRIPTED_ENGINES; i++)
    {
      GSocketAddress *any
          = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
      f->listeners[i] = scripted_socket ();
      CU_ASSERT_TRUE_FATAL (g_socket_bind (f->listeners[i], any, TRUE, NULL)
                            && g_socket_listen (f->listeners[i], NULL));
      g_object_unref (any);
    }
}

static inline void
scripted_free_link (gpointer data)
{
  struct scripted_link *link = data;
  g_clear_object (&link->socket);
  g_string_free (link->received, TRUE);
  g_free (link);
}

static inline void
scripted_start (struct scripted *f, const struct scripted_step *steps,
                guint n_steps)
{
  struct err err;
  memset (f, 0, sizeof *f);
  f->steps = steps;
  f->n_steps = n_steps;
  f->links = g_ptr_array_new_with_free_func (scripted_free_link);
  f->bodies = g_ptr_array_new_with_free_func (g_free);
  f->received = g_string_new (NULL);
  f->body = g_string_new (NULL);
  scripted_listen (f);
  clk_fake_init (&f->clk, CLK_S);
  struct core_options core_options = {
    .clk = &f->clk.clk,
    .counter_set = &f->counter_set,
    .address = "127.0.0.1:1",
    .incarnation = 1,
    .chart_folder = JW_SOURCE_DIR "/charts",
    .act = scripted_act,
    .ctx = f,
  };
  str_id_set (&core_options.self, STR_LIT ("a"));
  str_id_set (&core_options.domain, STR_LIT ("d"));
  str_id_set (&core_options.region, STR_LIT ("r"));
  CU_ASSERT_EQUAL_FATAL (core_new (&core_options, &f->core, &err), 0);
  scripted_set_config (f);
  for (guint i = 0; i < SCRIPTED_WARMUP_TICKS; i++)
    scripted_tick (f);
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
                .arrival_us = SCRIPTED_WAIT_MS * CLK_MS,
                .client_stall_us = SCRIPTED_WAIT_MS * CLK_MS,
                .backend_stall_us = SCRIPTED_STALL_MS * CLK_MS },
  };
  CU_ASSERT_EQUAL_FATAL (ingress_new (&options, &f->ingress, &err), 0);
  f->timer = g_timeout_add (CORE_TICK_US / CLK_MS, scripted_tick, f);
}

static inline void
scripted_stop (struct scripted *f)
{
  g_source_remove (f->timer);
  g_clear_object (&f->client);
  ingress_free (g_steal_pointer (&f->ingress));
  backend_client_free (f->backend_client);
  core_free (f->core);
  for (guint i = 0; i < SCRIPTED_ENGINES; i++)
    g_object_unref (f->listeners[i]);
  g_ptr_array_unref (f->links);
  g_ptr_array_unref (f->bodies);
  g_string_free (f->received, TRUE);
  g_string_free (f->body, TRUE);
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

static inline void
scripted_send_bytes (GSocket *socket, const char *p, gsize n)
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
static inline char *
scripted_confirm (const char *body)
{
  static const char start[] = "{\"jacinthward_resume\":{\"tokens\":";
  if (!g_str_has_prefix (body, start))
    return g_strdup ("");
  return g_strdup_printf ("Jacinthward-Resumed: %" G_GUINT64_FORMAT "\r\n",
                          g_ascii_strtoull (body + strlen (start), NULL, 10));
}

static inline void
scripted_respond (struct scripted_link *link, const struct scripted_step *step,
                  const char *body)
{
  GString *out = g_string_new (NULL);
  char *fields
      = step->fields ? g_strdup (step->fields) : scripted_confirm (body);
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
  scripted_send_bytes (link->socket, out->str, out->len);
  g_socket_set_blocking (link->socket, FALSE);
  link->endless = step->ending == END_NEVER;
  if (step->ending == END_CUT || step->ending == END_CLOSE)
    g_clear_object (&link->socket);
  g_string_free (out, TRUE);
  g_free (fields);
}

/* Returns the body of the request in TEXT once it is complete, or NULL.  */
static inline const char *
scripted_find_body (const char *text)
{
  const char *length = strstr (text, "Content-Length: ");
  const char *body = strstr (text, "\r\n\r\n");
  if (length == NULL || body == NULL
      || strlen (body + 4) < g_ascii_strtoull (
             length + strlen ("Content-Length: "), NULL, 10))
    return NULL;
  return body + 4;
}

static inline void
scripted_receive (GSocket *socket, GString *into, gboolean *closed)
{
  char buffer[16384];
  gssize n;
  while ((n = g_socket_receive (socket, buffer, sizeof buffer, NULL, NULL)) > 0)
    g_string_append_len (into, buffer, n);
  *closed |= n == 0;
}

static inline void
scripted_serve_link (struct scripted *f, struct scripted_link *link)
{
  gboolean closed = FALSE;
  if (link->socket == NULL)
    return;
  scripted_receive (link->socket, link->received, &closed);
  if (link->endless)
    scripted_send_bytes (link->socket, "5\r\n: x\n\n\r\n", 10);
  const char *body = scripted_find_body (link->received->str);
  if (body == NULL)
    return;
  g_ptr_array_add (f->bodies, g_strdup (body));
  g_string_truncate (link->received, 0);
  if (f->bodies->len <= f->n_steps)
    scripted_respond (link, &f->steps[f->bodies->len - 1],
                      f->bodies->pdata[f->bodies->len - 1]);
  else
    g_clear_object (&link->socket);
}

static inline void
scripted_serve (struct scripted *f)
{
  GSocket *socket;
  for (guint i = 0; i < SCRIPTED_ENGINES; i++)
    while ((socket = g_socket_accept (f->listeners[i], NULL, NULL)) != NULL)
      {
        struct scripted_link *link = g_new0 (struct scripted_link, 1);
        g_socket_set_blocking (socket, FALSE);
        link->socket = socket;
        link->received = g_string_new (NULL);
        g_ptr_array_add (f->links, link);
      }
  for (guint i = 0; i < f->links->len; i++)
    scripted_serve_link (f, f->links->pdata[i]);
}

/* Takes the body out of the client's response: chunks or a length.  */
static inline void
scripted_read_response (struct scripted *f)
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

static inline void
scripted_iterate (struct scripted *f)
{
  g_main_context_iteration (NULL, FALSE);
  scripted_serve (f);
  scripted_receive (f->client, f->received, &f->closed);
  g_usleep (200);
}

static inline void
scripted_send_request (struct scripted *f, const char *path, const char *body)
{
  GSocketAddress *to = g_inet_socket_address_new_from_string (
      "127.0.0.1", ingress_port (f->ingress));
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Authorization: Bearer " SCRIPTED_TEAM_KEY "\r\nJacinthward-Class: %s\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      path, f->class ? f->class : "urgent", strlen (body), body);
  f->client = scripted_socket ();
  g_socket_set_blocking (f->client, TRUE);
  CU_ASSERT_TRUE_FATAL (g_socket_connect (f->client, to, NULL, NULL));
  scripted_send_bytes (f->client, text, strlen (text));
  g_socket_set_blocking (f->client, FALSE);
  g_object_unref (to);
  g_free (text);
}

static inline void
scripted_finish_request (struct scripted *f)
{
  gint64 end = g_get_monotonic_time () + SCRIPTED_WAIT_MS * CLK_MS;
  while (!f->closed && g_get_monotonic_time () < end)
    scripted_iterate (f);
  CU_ASSERT_TRUE (f->closed);
  scripted_read_response (f);
}

/* Sends a request with BODY to PATH and gets the response.  */
static inline void
scripted_request (struct scripted *f, const char *path, const char *body)
{
  scripted_send_request (f, path, body);
  scripted_finish_request (f);
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
      static const struct scripted_step steps[] = { __VA_ARGS__ };             \
      scripted_start (f, steps, G_N_ELEMENTS (steps));                         \
      scripted_request (f, path, body);                                        \
    }                                                                          \
  while (0)

static inline const char *
scripted_request_body (const struct scripted *f, guint i)
{
  return i < f->bodies->len ? f->bodies->pdata[i] : "";
}

/* The stream is whole and consists of EXPECTED after N requests to engines.  */
static inline void
scripted_check_whole (const struct scripted *f, const char *expected, guint n)
{
  CU_ASSERT_EQUAL (f->bodies->len, n);
  CU_ASSERT_TRUE (f->whole);
  CU_ASSERT_STRING_EQUAL (f->body->str, expected);
  if (strcmp (f->body->str, expected) != 0)
    g_print ("\nbody: %s\n", f->body->str);
}

/* The stream consists of EXPECTED and then an error, after N requests to
   engines.  */
static inline void
scripted_check_error (const struct scripted *f, const char *expected, guint n)
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

#endif
