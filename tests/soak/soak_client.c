/* The simulated clients: what they send, and the check of what they get.  */
#include "soak/soak_traffic_internal.h"

#include <errno.h>
#include <glib-unix.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/reader.h"
#include "net/tcp_conn.h"

#define SINGLE_USE 0.25 /* share of connections for one request */
/* Clients that read slowly: their share of the connections, their socket
   buffer and the pause after each read. They ask for long responses, which are
   more than the kernel buffers for a connection of short segments.  */
#define SLOW_CLIENTS 0.06
#define SLOW_RECEIVE_BYTES 4096
#define SLOW_SEGMENT_BYTES 536
#define SLOW_READ_INTERVAL_MS 40
#define SLOW_RESPONSE_BYTES (256 * 1024)
/* A request that no server got may end with its connection for so long after
   its last byte: it may have crossed the close.  */
#define CROSSING_US (200 * G_TIME_SPAN_MILLISECOND)
/* The instances round the time that is left to whole milliseconds.  */
#define TIMEOUT_ROUNDING_US (2 * G_TIME_SPAN_MILLISECOND)
/* After a SIGTERM requests are to be finished if they were sent in this time,
   unless a server is at work on them in the last sixth of the grace time.  */
#define STOP_SENT_US (3 * G_TIME_SPAN_SECOND)
#define STOP_LAST_US (SOAK_GRACE_MS * G_TIME_SPAN_MILLISECOND / 6 * 5)

/* A client's connection.  */
struct client
{
  struct soak_traffic *traffic;
  struct tcp_conn *tcp_conn;
  struct http_reader *http_reader;
  const struct soak_process *process; /* that the connection is to */
  struct request *request;            /* in progress; NULL: idle */
  guint requests;                     /* sent on the connection */
  GString *body;                      /* of the response */
  guint status;
  guint timer;      /* GLib source of the time-out */
  guint read_timer; /* GLib source of the next read of a slow client */
  gboolean complete;
  gboolean single_use;
  gboolean slow;
  gboolean last;         /* the response has "Connection: close" */
  gint64 retry_after_us; /* of the response; 0: none */
};

void
client_free (gpointer data)
{
  struct client *client = data;
  g_clear_handle_id (&client->timer, g_source_remove);
  g_clear_handle_id (&client->read_timer, g_source_remove);
  tcp_conn_close (client->tcp_conn);
  http_reader_free (client->http_reader);
  g_string_free (client->body, TRUE);
  g_free (client);
}

static void
check_success (const struct client *client)
{
  const struct request *request = client->request;
  gboolean stream = request->route == SOAK_ROUTE_STREAM;
  GString *want = g_string_new (NULL);
  for (guint i = stream ? request->after + 1 : 0;
       i <= (stream ? SOAK_STREAM_EVENTS : 0); i++)
    request_append_part (request, i, want);
  if (!g_string_equal (want, client->body))
    {
      stream_trace_ids (request, client->body);
      record_violation (
          client->traffic, request,
          "a wrong or incomplete response was reported as complete");
    }
  client->traffic->counts.served++;
  client->traffic->counts.finished += request->after > 0;
  g_string_free (want, TRUE);
}

/* Returns whether a server had a fault while it may have had REQUEST.  */
static gboolean
server_was_faulty (const struct client *client)
{
  const struct request *request = client->request;
  for (guint i = 0; i < SOAK_SERVERS; i++)
    if ((request->servers >> i & 1) != 0
        && client->traffic->servers[i].faulty_until >= request->sent_at)
      return TRUE;
  return request->broken_off;
}

/* Returns why the instance may close the connection at NOW without a complete
   response to the request.  */
static enum soak_excuse
excuse_of (const struct client *client, gint64 now)
{
  const struct request *request = client->request;
  const struct soak_process *process = client->process;
  gint64 elapsed = now - request->sent_at;
  if (process->disturbed_until >= request->sent_at)
    return SOAK_EXCUSE_INSTANCE;
  if (server_was_faulty (client))
    return SOAK_EXCUSE_SERVER;
  if (elapsed >= MIN (client->traffic->shortest_timeout_us,
                      request->deadline_ms * G_TIME_SPAN_MILLISECOND)
                     - TIMEOUT_ROUNDING_US)
    return SOAK_EXCUSE_TIMEOUT;
  if (request->passed_on == 0)
    return elapsed <= CROSSING_US ? SOAK_EXCUSE_CROSSING : SOAK_EXCUSE_NONE;
  gint64 worked_until = request->running > 0 ? now : request->worked_until;
  if (process->stopped_at != 0
      && request->sent_at <= process->stopped_at + STOP_SENT_US
      && worked_until >= process->stopped_at + STOP_LAST_US)
    return SOAK_EXCUSE_GRACE;
  return SOAK_EXCUSE_NONE;
}

/* To be called when the connection has ended with a request in progress. HOW
   says what the client saw.  */
static void
check_unanswered (const struct client *client, const char *how)
{
  const struct request *request = client->request;
  const struct soak_process *process = client->process;
  gint64 now = g_get_monotonic_time ();
  enum soak_excuse excuse = excuse_of (client, now);
  client->traffic->counts.cut[excuse]++;
  if (excuse != SOAK_EXCUSE_NONE)
    return;
  char *text = g_strdup_printf (
      "accepted but unanswered: instance %u, %s client, request %u of its "
      "connection, status %u, %" G_GSIZE_FORMAT " bytes of the body, %s "
      "%" G_GINT64_FORMAT " ms after the last byte and %" G_GINT64_FORMAT
      " ms after the first of %u SIGTERM, passed on %u times, running %u",
      process->instance, client->slow ? "slow" : "fast", client->requests,
      client->status, client->body->len, how, (now - request->sent_at) / 1000,
      process->stops > 0 ? (now - process->stopped_at) / 1000 : -1,
      process->stops, request->passed_on, request->running);
  record_violation (client->traffic, request, text);
  g_free (text);
}

/* Counts the outcome of the request that is ended.  */
static void
count_outcome (const struct client *client)
{
  struct soak_counts *counts = &client->traffic->counts;
  struct request *request = client->request;
  if (!client->complete)
    counts->unknown++;
  else if (client->status == 200)
    check_success (client);
  else if (client->status == 401 || client->status == 404)
    counts->denied++;
  else if (client->status == 503 || client->status == 429
           || client->status == 408)
    {
      counts->rejected++;
      request->rejected = TRUE;
      if (request->executions > 0)
        record_violation (client->traffic, request,
                          "reported as not run, but it has run");
    }
  else
    counts->unknown++;
}

/* Handles the end of an attempt at a stream, of which the client may have got a
   part.  */
static void
end_attempt (const struct client *client)
{
  const struct request *request = client->request;
  if (client->status == 200 && !client->complete)
    {
      struct stream *stream = request->stream;
      gboolean is_first = stream->last_event == 0;
      stream->last_event
          = stream_check_part (client->traffic, request, client->body);
      if (is_first && stream->last_event > 0)
        {
          g_strlcpy (stream->first_id, request->id, sizeof stream->first_id);
          stream->version = request->version;
        }
    }
  stream_attempt_ended (request, client->status, client->complete,
                        client->retry_after_us);
}

/* Ends the request in progress, if any, and frees the client unless its
   connection can be used again.  */
static void
finish (struct client *client)
{
  gboolean keep = client->request != NULL && client->complete && !client->last
                  && !client->single_use;
  if (client->request != NULL)
    count_outcome (client);
  if (client->request != NULL && client->request->stream != NULL)
    end_attempt (client);
  client->request = NULL;
  g_clear_handle_id (&client->timer, g_source_remove);
  if (!keep)
    g_ptr_array_remove_fast (client->traffic->clients, client);
}

static gboolean
on_timeout (gpointer data)
{
  struct client *client = data;
  client->timer = 0;
  finish (client);
  return G_SOURCE_REMOVE;
}

/* Restarts the timer of the request. A client waits until its deadline; for
   the next bytes of a stream it may wait less.  */
static void
start_timer (struct client *client)
{
  const struct request *request = client->request;
  gint64 elapsed_ms
      = (g_get_monotonic_time () - request->sent_at) / G_TIME_SPAN_MILLISECOND;
  gint64 ms = MAX (0, request->deadline_ms - elapsed_ms);
  if (request->stream != NULL)
    ms = MIN (ms, request->stream->patience_ms);
  g_clear_handle_id (&client->timer, g_source_remove);
  client->timer = g_timeout_add ((guint)ms, on_timeout, client);
}

static gboolean
on_response_head (void *ctx, const struct http_head *head)
{
  struct client *client = ctx;
  struct server_hints_life life;
  if (server_hints_read (head, &life) && life.server < SOAK_SERVERS)
    {
      const struct server_hints_sender sender = sender_of (client->process);
      server_hints_passed_on (soak_traffic_hints (client->traffic, life.server),
                              &sender, &life, g_get_monotonic_time ());
    }
  struct str retry_after;
  if (http_head_get (head, "retry-after", &retry_after))
    http_parse_seconds (retry_after, &client->retry_after_us);
  /* All signed responses of the servers have status 200.  */
  if ((head->status == 200) != (http_head_count (head, "x-signature") == 1))
    record_violation (client->traffic, client->request,
                      "the status is not that of the server");
  client->status = head->status;
  client->last = !head->keep_alive;
  return TRUE;
}

static gboolean
on_response_body (void *ctx, struct str bytes)
{
  struct client *client = ctx;
  g_string_append_len (client->body, bytes.p, (gssize)bytes.n);
  if (client->request->stream != NULL)
    start_timer (client);
  return TRUE;
}

static void
on_response_complete (void *ctx)
{
  ((struct client *)ctx)->complete = TRUE;
}

static const struct http_reader_handler response_handler
    = { on_response_head, on_response_body, on_response_complete };

static gboolean
on_read_timer (gpointer data)
{
  struct client *client = data;
  client->read_timer = 0;
  tcp_conn_pause (client->tcp_conn, FALSE);
  return G_SOURCE_REMOVE;
}

static void
on_response_data (void *ctx, struct str data)
{
  struct client *client = ctx;
  struct err err = { 0 };
  if (client->slow)
    {
      tcp_conn_pause (client->tcp_conn, TRUE);
      client->read_timer
          = g_timeout_add (SLOW_READ_INTERVAL_MS, on_read_timer, client);
    }
  while (data.n > 0 && client->request != NULL && !client->complete)
    {
      gssize n = http_reader_feed (client->http_reader, data, &err);
      if (n < 0)
        {
          record_violation (client->traffic, client->request,
                            "a malformed response");
          finish (client);
          return;
        }
      data.p += n;
      data.n -= (gsize)n;
    }
  if (data.n > 0)
    {
      record_violation (client->traffic, client->request,
                        "bytes that belong to no request");
      client->last = TRUE;
    }
  if (client->complete || client->request == NULL)
    finish (client);
}

/* Handles the end of the connection.  */
static void
end_connection (struct client *client, const char *how)
{
  if (client->request != NULL)
    check_unanswered (client, how);
  finish (client);
}

static void
on_response_eof (void *ctx)
{
  end_connection (ctx, "closed");
}

static void
on_response_failed (void *ctx, const struct err *err)
{
  end_connection (ctx, err->text);
}

static const struct tcp_conn_handler client_handler
    = { .data = on_response_data,
        .ended = on_response_eof,
        .failed = on_response_failed };

/* Returns a connected socket, or -1 if ADDRESS does not accept connections. On
   loopback connect does not block.  */
static int
connect_socket (const char *address, gboolean slow)
{
  const int buffer = SLOW_RECEIVE_BYTES;
  const int segment = SLOW_SEGMENT_BYTES;
  struct sockaddr_in to;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || tcp_address_parse (address, &to, NULL) < 0)
    g_error ("socket for %s: %s", address, g_strerror (errno));
  if (slow
      && (setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer) < 0
          || setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment)
                 < 0))
    g_error ("setsockopt: %s", g_strerror (errno));
  if (connect (fd, (struct sockaddr *)&to, sizeof to) < 0
      || !g_unix_set_fd_nonblocking (fd, TRUE, NULL))
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Returns a new connection to PROCESS, or NULL if it does not accept it.  */
static struct client *
open_client (struct soak_traffic *traffic, struct soak_process *process,
             gboolean single_use)
{
  gboolean slow = g_rand_double (traffic->rand) < SLOW_CLIENTS;
  int fd = connect_socket (process->address, slow);
  if (fd < 0)
    return NULL;
  process->accepted = TRUE;
  struct client *client = g_new0 (struct client, 1);
  const struct tcp_conn_options options
      = { .handler = &client_handler, .ctx = client };
  client->traffic = traffic;
  client->process = process;
  client->single_use = single_use;
  client->slow = slow;
  client->body = g_string_new (NULL);
  client->http_reader = http_reader_new (TRUE, &response_handler, client);
  client->tcp_conn = tcp_conn_adopt (fd, &options);
  g_ptr_array_add (traffic->clients, client);
  return client;
}

/* Returns a random idle connection to PROCESS, or NULL.  */
static struct client *
find_idle_client (const struct soak_traffic *traffic,
                  const struct soak_process *process)
{
  guint n = traffic->clients->len;
  guint from = n > 0 ? g_rand_int (traffic->rand) % n : 0;
  for (guint i = 0; i < n; i++)
    {
      struct client *client
          = g_ptr_array_index (traffic->clients, (from + i) % n);
      if (client->request == NULL && client->process == process)
        return client;
    }
  return NULL;
}

static void
write_request (struct client *client, struct request *request)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "POST /%s/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n"
      "X-Deadline-Ms: %u\r\nAuthorization: Bearer %s\r\n%s",
      soak_route_path (request->route), request->id, request->deadline_ms,
      request->key, client->single_use ? "Connection: close\r\n" : "");
  if (request->after > 0)
    g_string_append_printf (text, "Last-Event-Id: %u\r\nX-Resumes: %s\r\n",
                            request->after, request->stream->first_id);
  g_string_append (text, "Content-Length: 4\r\n\r\nbody");
  if (client->slow)
    request->padding = request->route == SOAK_ROUTE_STREAM
                           ? SLOW_RESPONSE_BYTES / SOAK_STREAM_EVENTS
                           : SLOW_RESPONSE_BYTES;
  if (client->requests++ > 0)
    client->traffic->counts.reused++;
  client->request = request;
  client->complete = FALSE;
  client->status = 0;
  client->retry_after_us = 0;
  g_string_truncate (client->body, 0);
  http_reader_next (client->http_reader, FALSE);
  request->sent_at = g_get_monotonic_time ();
  tcp_conn_write (client->tcp_conn, text->str, text->len);
  g_string_free (text, TRUE);
  start_timer (client);
}

/* Sends a new request, or the next attempt at STREAM unless that is NULL.  */
static void
send_request (struct client *client, enum soak_route route, const char *key,
              struct stream *stream)
{
  struct soak_traffic *traffic = client->traffic;
  struct request *request = g_new0 (struct request, 1);
  traffic->counts.sent++;
  g_snprintf (request->id, sizeof request->id, "q-%u", ++traffic->next_id);
  g_strlcpy (request->key, key, sizeof request->key);
  request->route = route;
  request->process = client->process;
  request->deadline_ms = SOAK_CLIENT_TIMEOUT_MS;
  request->stream = stream;
  if (stream != NULL)
    {
      stream->attempts++;
      request->after = stream->last_event;
      request->deadline_ms
          = (guint)((stream->deadline_at - g_get_monotonic_time ())
                    / G_TIME_SPAN_MILLISECOND);
      traffic->counts.resumed += request->after > 0;
      stream_trace (request, "sent to instance %u after event %u",
                    client->process->instance, request->after);
    }
  g_hash_table_insert (traffic->requests, request->id, request);
  write_request (client, request);
}

gboolean
soak_traffic_send (struct soak_traffic *traffic, guint instance,
                   enum soak_route route, const char *key)
{
  struct soak_process *process = traffic->present[instance];
  gboolean single_use = g_rand_double (traffic->rand) < SINGLE_USE;
  struct client *client
      = single_use ? NULL : find_idle_client (traffic, process);
  if (client == NULL)
    client = open_client (traffic, process, single_use);
  if (client == NULL)
    return FALSE;
  struct stream *stream
      = route == SOAK_ROUTE_STREAM ? stream_new (traffic, key) : NULL;
  send_request (client, route, key, stream);
  return TRUE;
}

/* Sends the next attempt at STREAM on a new connection to a random instance or,
   if that refuses connections, to the next one that does not. Returns FALSE if
   there is none.  */
gboolean
client_resume (struct stream *stream)
{
  struct soak_traffic *traffic = stream->traffic;
  guint n = 1; /* instances; the stream was sent to one */
  while (n < SOAK_INSTANCES_MAX && traffic->present[n] != NULL)
    n++;
  guint from = g_rand_int (traffic->stream_rand) % n;
  struct client *client = NULL;
  for (guint i = 0; i < n && client == NULL; i++)
    client = open_client (traffic, traffic->present[(from + i) % n], FALSE);
  if (client == NULL)
    return FALSE;
  send_request (client, SOAK_ROUTE_STREAM, stream->key, stream);
  return TRUE;
}

guint
soak_traffic_pending (const struct soak_traffic *traffic)
{
  guint n = 0;
  for (guint i = 0; i < traffic->clients->len; i++)
    {
      const struct client *client = g_ptr_array_index (traffic->clients, i);
      n += client->request != NULL;
    }
  for (guint i = 0; i < traffic->streams->len; i++)
    {
      const struct stream *stream = g_ptr_array_index (traffic->streams, i);
      n += stream->timer != 0;
    }
  return n;
}
