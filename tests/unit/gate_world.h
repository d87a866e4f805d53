/* A gate between raw callers and scripted backend servers, all in one process
   and on one loop, over loopback.  */
#ifndef GATE_WORLD_H
#define GATE_WORLD_H

#include "unit/unit.h"

#include <string.h>

#include "gate/gat.h"
#include "http/reader.h"
#include "net/tcp_conn.h"

/* Not every test uses every helper. */
#pragma GCC diagnostic ignored "-Wunused-function"

#define GW_SERVERS 3
#define GW_WAIT_MS 5000 /* for what a healthy machine does in a few ms */
#define GW_KEY "key-of-crew"

struct gw_server;

/* A request as a backend server got it.  */
struct gw_request
{
  char *method;
  char *target;
  GHashTable *fields; /* lower-case name: value */
  GString *body;
  struct gw_server *server;
  guint connection; /* number of the connection at its server */
  gboolean closed;  /* the gate has closed the connection since */
};

struct gw_link;
typedef void (*gw_script) (struct gw_link *link, struct gw_request *request);

struct gw_server
{
  struct tcp_listener *listener;
  gw_script script;
  GPtrArray *links; /* of struct gw_link, owned */
  guint connections;
  char address[ERR_PEER_MAX];
  char id[16];
  gboolean silent; /* reads nothing that comes */
};

/* A connection of the gate at a backend server.  */
struct gw_link
{
  struct gw_server *server;
  struct tcp_conn *tcp_conn;
  struct http_reader *http_reader;
  struct gw_request *request; /* the one being read; in the world's list */
  guint number;
};

/* A caller's connection.  */
struct gw_caller
{
  struct tcp_conn *tcp_conn;
  GString *in;
  gboolean ended;
  gboolean reset;
};

static struct
{
  struct clk clk;
  gint64 skew; /* added to the time, microseconds */
  struct counter_set counter_set;
  struct histogram_set histogram_set;
  struct top *top;
  struct flt *flt;
  struct sch *sch;
  struct gat *gat;
  struct gw_server servers[GW_SERVERS];
  GPtrArray *requests; /* of struct gw_request, owned */
  guint n_ids;
  gboolean idle;
} gw;

static gint64
gw_now (const struct clk *clk)
{
  (void)clk;
  return clk_now (clk_boottime ()) + gw.skew;
}

static void
gw_request_free (gpointer data)
{
  struct gw_request *request = data;
  g_free (request->method);
  g_free (request->target);
  g_hash_table_unref (request->fields);
  g_string_free (request->body, TRUE);
  g_free (request);
}

static const char *
gw_field (const struct gw_request *request, const char *name)
{
  return g_hash_table_lookup (request->fields, name);
}

static gboolean
gw_on_head (void *ctx, const struct http_head *head)
{
  struct gw_link *link = ctx;
  struct gw_request *request = g_new0 (struct gw_request, 1);
  request->method = g_strdup (head->method);
  request->target = str_dup (http_head_target (head));
  request->server = link->server;
  request->connection = link->number;
  request->body = g_string_new (NULL);
  request->fields
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (guint i = 0; i < head->fields->len; i++)
    {
      struct str name = http_head_field_name (head, i);
      g_hash_table_insert (request->fields,
                           g_ascii_strdown (name.p, (gssize)name.n),
                           str_dup (http_head_field_value (head, i)));
    }
  link->request = request;
  g_ptr_array_add (gw.requests, request);
  return TRUE;
}

static gboolean
gw_on_body (void *ctx, struct str bytes)
{
  struct gw_link *link = ctx;
  g_string_append_len (link->request->body, bytes.p, (gssize)bytes.n);
  return TRUE;
}

static const struct http_reader_handler gw_reader
    = { gw_on_head, gw_on_body, NULL };

static void
gw_link_free (gpointer data)
{
  struct gw_link *link = data;
  tcp_conn_close (link->tcp_conn);
  http_reader_free (link->http_reader);
  g_free (link);
}

static void
gw_link_data (void *ctx, struct str data)
{
  struct gw_link *link = ctx;
  while (data.n > 0 && !link->server->silent)
    {
      struct err err = { 0 };
      gssize n = http_reader_feed (link->http_reader, data, &err);
      if (n < 0)
        {
          CU_FAIL ("the gate has sent a malformed request");
          return;
        }
      data.p += n;
      data.n -= (gsize)n;
      if (http_reader_in_message (link->http_reader))
        continue;
      struct gw_request *request = link->request;
      http_reader_next (link->http_reader, FALSE);
      link->server->script (link, request);
      if (link->tcp_conn == NULL)
        return;
    }
}

static void
gw_link_gone (void *ctx)
{
  struct gw_link *link = ctx;
  if (link->request != NULL)
    link->request->closed = TRUE;
  g_ptr_array_remove_fast (link->server->links, link);
}

static void
gw_link_failed (void *ctx, const struct err *err)
{
  (void)err;
  gw_link_gone (ctx);
}

static const struct tcp_conn_handler gw_link_handler
    = { .data = gw_link_data, .ended = gw_link_gone, .failed = gw_link_failed };

static void
gw_accepted (void *ctx, int fd, const char *peer)
{
  struct gw_server *server = ctx;
  struct gw_link *link = g_new0 (struct gw_link, 1);
  const struct tcp_conn_options options
      = { .handler = &gw_link_handler, .ctx = link };
  (void)peer;
  link->server = server;
  link->number = ++server->connections;
  link->http_reader = http_reader_new (FALSE, &gw_reader, link);
  link->tcp_conn = tcp_conn_adopt (fd, &options);
  g_ptr_array_add (server->links, link);
}

/* Writes TEXT to the gate; "%I" in it stands for the request's id.  */
static void
gw_say (struct gw_link *link, const struct gw_request *request,
        const char *text)
{
  const char *id = gw_field (request, "x-request-id");
  char **parts = g_strsplit (text, "%I", -1);
  char *filled = g_strjoinv (id ? id : "", parts);
  tcp_conn_write (link->tcp_conn, filled, strlen (filled));
  g_free (filled);
  g_strfreev (parts);
}

static void
gw_say_whole (struct gw_link *link, const struct gw_request *request,
              const char *status, const char *fields, const char *body)
{
  char *text = g_strdup_printf ("HTTP/1.1 %s\r\nX-Request-Id: %%I\r\n%s"
                                "Content-Length: %zu\r\n\r\n%s",
                                status, fields, strlen (body), body);
  gw_say (link, request, text);
  g_free (text);
}

#define GW_SIGNED "X-Signature: sig\r\n"

static void
gw_answer_ok (struct gw_link *link, struct gw_request *request)
{
  gw_say_whole (link, request, "200 OK", GW_SIGNED, "done");
}

static void
gw_answer_nothing (struct gw_link *link, struct gw_request *request)
{
  (void)link;
  (void)request;
}

static void
gw_close_link (struct gw_link *link, struct gw_request *request)
{
  (void)request;
  tcp_conn_reset (g_steal_pointer (&link->tcp_conn));
  link->request = NULL;
}

static void
gw_add_route (struct rtb *rtb, const char *name, enum rtb_kind kind,
              gboolean resumable, guint attempts, gboolean open)
{
  const struct rtb_share share = { g_strdup ("pool"), 1 };
  struct rtb_route route = { .name = g_strdup (name),
                             .host = g_strdup ("a.example"),
                             .prefix = g_strdup_printf ("/%s/", name),
                             .kind = kind,
                             .resumable = resumable,
                             .open = open,
                             .timeout_us = 1500 * CLK_MS,
                             .target_us = 1000 * CLK_MS,
                             .attempts = attempts,
                             .priority = 2 };
  route.shares = g_array_new (FALSE, FALSE, sizeof (struct rtb_share));
  g_array_append_val (route.shares, share);
  rtb_add_route (rtb, &route);
}

/* A table with a route of each kind and, if KEY is not NULL, a team.  */
static struct rtb *
gw_table (guint64 version, const char *key)
{
  struct rtb *rtb = rtb_new (version);
  struct rtb_service service = { .name = g_strdup ("pool") };
  const struct rtb_limits limits = { .header_bytes = 2000,
                                     .body_bytes = 5000,
                                     .header_us = 300 * CLK_MS,
                                     .idle_us = 2 * CLK_S };
  rtb_add_service (rtb, &service);
  rtb_set_limits (rtb, &limits);
  gw_add_route (rtb, "again", RTB_IDEMPOTENT, FALSE, 2, FALSE);
  gw_add_route (rtb, "once", RTB_ONCE, FALSE, 1, FALSE);
  gw_add_route (rtb, "once2", RTB_ONCE, FALSE, 2, FALSE);
  gw_add_route (rtb, "resume", RTB_STREAM, TRUE, 2, FALSE);
  gw_add_route (rtb, "stream", RTB_STREAM, FALSE, 1, FALSE);
  gw_add_route (rtb, "open", RTB_IDEMPOTENT, FALSE, 1, TRUE);
  if (key != NULL)
    {
      struct rtb_team team = { g_strdup ("crew"), RTB_TEAM_PRIORITY_NONE };
      const struct str keys[] = { str_of (key) };
      rtb_add_team (rtb, &team, keys, 1);
    }
  return rtb;
}

static void
gw_set_table (guint64 version, const char *key)
{
  struct rtb *rtb = gw_table (version, key);
  gat_set_table (gw.gat, rtb);
  gat_proved (gw.gat, version, gw_now (NULL));
  rtb_unref (rtb);
}

static void
gw_changed (void *ctx, const struct flt_change *change)
{
  (void)ctx;
  if (gw.gat != NULL)
    gat_server_changed (gw.gat, change);
}

static void
gw_on_idle (void *ctx)
{
  (void)ctx;
  gw.idle = TRUE;
}

/* Lists the servers FIRST to LAST; LEAVING of them by bits.  */
static void
gw_list (guint first, guint last, guint leaving)
{
  struct flt_entry entries[GW_SERVERS];
  guint n = 0;
  for (guint i = first; i <= last; i++)
    {
      struct flt_entry *entry = &entries[n++];
      memset (entry, 0, sizeof *entry);
      g_strlcpy (entry->id, gw.servers[i].id, sizeof entry->id);
      g_strlcpy (entry->service, "pool", sizeof entry->service);
      g_strlcpy (entry->address, gw.servers[i].address, sizeof entry->address);
      g_strlcpy (entry->domain, "here", sizeof entry->domain);
      entry->slots = 8;
      entry->leaving = leaving >> i & 1;
    }
  flt_list (gw.flt, entries, n, gw_now (NULL));
}

static void
gw_start (guint n_servers)
{
  struct err err = { 0 };
  memset (&gw, 0, sizeof gw);
  gw.clk = (struct clk){ gw_now, clk_boottime ()->wall };
  gw.requests = g_ptr_array_new_with_free_func (gw_request_free);
  gw.top = top_new ("here", "region");
  gw.flt = flt_new (gw_changed, NULL);
  const struct sch_options sch_options
      = { .flt = gw.flt, .top = gw.top, .seed = 1 };
  gw.sch = sch_new (&sch_options, gw_now (NULL));
  const struct gat_options options
      = { .listen = "127.0.0.1:0",
          .dialect = dia_own (),
          .clk = &gw.clk,
          .counter_set = &gw.counter_set,
          .histogram_set = &gw.histogram_set,
          .chart = JW_SOURCE_DIR "/charts/exchange.chart",
          .flt = gw.flt,
          .sch = gw.sch,
          .budget = { .ratio = 0.2, .slack = 20, .window_us = 10 * CLK_S },
          .key_limit_us = 2 * CLK_S,
          .grace_us = 8 * CLK_S,
          .idle = gw_on_idle };
  CU_ASSERT_EQUAL_FATAL (gat_new (&options, &gw.gat, &err), 0);
  for (guint i = 0; i < GW_SERVERS; i++)
    {
      struct gw_server *server = &gw.servers[i];
      server->links = g_ptr_array_new_with_free_func (gw_link_free);
      server->script = gw_answer_ok;
      server->listener
          = tcp_listener_new ("127.0.0.1:0", gw_accepted, server, &err);
      CU_ASSERT_PTR_NOT_NULL_FATAL (server->listener);
      g_snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
                  tcp_listener_port (server->listener));
      g_snprintf (server->id, sizeof server->id, "s-%u", i);
    }
  if (n_servers > 0)
    gw_list (0, n_servers - 1, 0);
}

static void
gw_stop (void)
{
  gat_free (gw.gat);
  for (guint i = 0; i < GW_SERVERS; i++)
    {
      g_ptr_array_unref (gw.servers[i].links);
      tcp_listener_free (gw.servers[i].listener);
    }
  sch_free (gw.sch);
  flt_free (gw.flt);
  top_free (gw.top);
  g_ptr_array_unref (gw.requests);
}

typedef gboolean (*gw_condition) (void *ctx);

static gboolean
gw_on_tick (gpointer data)
{
  (void)data;
  if (gw.gat != NULL)
    gat_poll (gw.gat);
  return G_SOURCE_CONTINUE;
}

/* Runs the loop until CONDITION holds. Returns FALSE after MS.  */
static gboolean
gw_until (gw_condition condition, void *ctx, gint64 ms)
{
  gint64 end = g_get_monotonic_time () + ms * CLK_MS;
  guint tick = g_timeout_add (10, gw_on_tick, NULL);
  gboolean held = condition (ctx);
  while (!held && g_get_monotonic_time () < end)
    {
      g_main_context_iteration (NULL, TRUE);
      held = condition (ctx);
    }
  g_source_remove (tick);
  return held;
}

static gboolean
gw_never (void *ctx)
{
  (void)ctx;
  return FALSE;
}

static void
gw_run (gint64 ms)
{
  gw_until (gw_never, NULL, ms);
}

static void
gw_caller_data (void *ctx, struct str data)
{
  struct gw_caller *caller = ctx;
  g_string_append_len (caller->in, data.p, (gssize)data.n);
}

static void
gw_caller_ended (void *ctx)
{
  ((struct gw_caller *)ctx)->ended = TRUE;
}

static void
gw_caller_failed (void *ctx, const struct err *err)
{
  struct gw_caller *caller = ctx;
  (void)err;
  caller->ended = caller->reset = TRUE;
}

static const struct tcp_conn_handler gw_caller_handler = {
  .data = gw_caller_data, .ended = gw_caller_ended, .failed = gw_caller_failed
};

static struct gw_caller *
gw_open_port (guint port)
{
  struct gw_caller *caller = g_new0 (struct gw_caller, 1);
  struct err err = { 0 };
  char address[ERR_PEER_MAX];
  const struct tcp_conn_options options
      = { .handler = &gw_caller_handler, .ctx = caller };
  g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
  caller->in = g_string_new (NULL);
  caller->tcp_conn = tcp_conn_connect (address, &options, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (caller->tcp_conn);
  return caller;
}

static struct gw_caller *
gw_open (void)
{
  return gw_open_port (gat_port (gw.gat));
}

static void
gw_close (struct gw_caller *caller)
{
  tcp_conn_close (caller->tcp_conn);
  g_string_free (caller->in, TRUE);
  g_free (caller);
}

static void
gw_send (struct gw_caller *caller, const char *text)
{
  tcp_conn_write (caller->tcp_conn, text, strlen (text));
}

/* Sends a request with the team's key and an id of its own.  */
static void
gw_ask (struct gw_caller *caller, const char *path, const char *fields)
{
  char *text = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: a.example\r\n"
                                "X-Request-Id: r%u\r\n"
                                "Authorization: Bearer " GW_KEY "\r\n"
                                "%sContent-Length: 4\r\n\r\nbody",
                                path, ++gw.n_ids, fields);
  gw_send (caller, text);
  g_free (text);
}

struct gw_reply
{
  guint status;   /* 0: no head */
  gboolean whole; /* by its framing */
  GString *body;
  char *retry_after; /* NULL: none */
  gboolean closes;
};

static gboolean
gw_reply_head (void *ctx, const struct http_head *head)
{
  struct gw_reply *reply = ctx;
  struct str value;
  reply->status = head->status;
  reply->closes = http_head_lists (head, "connection", STR_LIT ("close"));
  if (http_head_get (head, "retry-after", &value))
    reply->retry_after = str_dup (value);
  return TRUE;
}

static gboolean
gw_reply_body (void *ctx, struct str bytes)
{
  struct gw_reply *reply = ctx;
  g_string_append_len (reply->body, bytes.p, (gssize)bytes.n);
  return TRUE;
}

static void
gw_reply_end (void *ctx)
{
  ((struct gw_reply *)ctx)->whole = TRUE;
}

static void
gw_reply_clear (struct gw_reply *reply)
{
  g_string_free (reply->body, TRUE);
  g_free (reply->retry_after);
}

/* Reads the first reply in what has come so far and, if it is whole, takes it
   off.  */
static struct gw_reply
gw_parse (struct gw_caller *caller)
{
  static const struct http_reader_handler handler
      = { gw_reply_head, gw_reply_body, gw_reply_end };
  struct gw_reply reply = { .body = g_string_new (NULL) };
  struct err err = { 0 };
  struct http_reader *http_reader = http_reader_new (TRUE, &handler, &reply);
  gssize n = http_reader_feed (
      http_reader, (struct str){ caller->in->str, caller->in->len }, &err);
  if (n > 0 && reply.whole)
    g_string_erase (caller->in, 0, n);
  http_reader_free (http_reader);
  return reply;
}

static gboolean
gw_has_reply (void *ctx)
{
  struct gw_caller *caller = ctx;
  gsize n = caller->in->len;
  char *copy = g_memdup2 (caller->in->str, n + 1);
  struct gw_reply reply = gw_parse (caller);
  gboolean whole = reply.whole;
  gw_reply_clear (&reply);
  g_string_truncate (caller->in, 0);
  g_string_append_len (caller->in, copy, (gssize)n);
  g_free (copy);
  return whole || caller->ended;
}

/* Waits for a whole reply or the end of the connection.  */
static struct gw_reply
gw_wait (struct gw_caller *caller)
{
  CU_ASSERT_TRUE (gw_until (gw_has_reply, caller, GW_WAIT_MS));
  return gw_parse (caller);
}

/* Asks on a new connection and returns the reply.  */
static struct gw_reply
gw_call (const char *path, const char *fields)
{
  struct gw_caller *caller = gw_open ();
  gw_ask (caller, path, fields);
  struct gw_reply reply = gw_wait (caller);
  gw_close (caller);
  return reply;
}

static guint
gw_status (const char *path, const char *fields)
{
  struct gw_reply reply = gw_call (path, fields);
  guint status = reply.status;
  gw_reply_clear (&reply);
  return status;
}

static guint
gw_n_requests (void)
{
  return gw.requests->len;
}

static struct gw_request *
gw_request_at (guint i)
{
  return g_ptr_array_index (gw.requests, i);
}

static void
gw_script_all (gw_script script)
{
  for (guint i = 0; i < GW_SERVERS; i++)
    gw.servers[i].script = script;
}

#endif
