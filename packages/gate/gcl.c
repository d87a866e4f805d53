/* Callers' connections: reading requests one after the other, limits on what
   a caller may send and how long it may take.  */
#include "gate/gat_int.h"

#include "base/log.h"

#define BODY_STALL_US (20 * CLK_S) /* for the rest of a body to arrive */
#define IDLE_MARGIN 1.2  /* of the idle limit, so that no request crosses */
#define SILENCE_MS 8000  /* a caller that acknowledges nothing is gone */
#define CALLERS_MAX 3000 /* connections, within the process's descriptors */

static const struct rtb_limits *
limits_of (const struct gcl *gcl)
{
  static const struct rtb_limits unconfigured = { .header_bytes = 16384,
                                                  .body_bytes = 4 * 1024 * 1024,
                                                  .header_us = 3 * CLK_S,
                                                  .idle_us = 15 * CLK_S };
  return gcl->gat->rtb ? rtb_limits (gcl->gat->rtb) : &unconfigured;
}

void
gcl_free (struct gcl *gcl)
{
  g_clear_handle_id (&gcl->timer, g_source_remove);
  g_queue_unlink (&gcl->gat->callers, &gcl->link);
  if (gcl->exc != NULL)
    exc_free (gcl->exc);
  tcp_conn_close (gcl->tcp_conn);
  http_reader_free (gcl->http_reader);
  g_byte_array_unref (gcl->stash);
  g_free (gcl);
}

/* Frees GCL now, or when its gcl_feed returns.  */
static void
drop (struct gcl *gcl)
{
  if (gcl->feeding)
    gcl->dead = TRUE;
  else
    gcl_free (gcl);
}

/* Ends the connection in order once all answers have left.  */
static void
finish (struct gcl *gcl)
{
  struct tcp_conn *tcp_conn = g_steal_pointer (&gcl->tcp_conn);
  if (tcp_conn != NULL)
    tcp_conn_finish (tcp_conn);
  drop (gcl);
}

static gboolean
on_timer (gpointer data)
{
  struct gcl *gcl = data;
  gcl->timer = 0;
  if (gcl->head_timer && (http_reader_in_message (gcl->http_reader)))
    {
      const struct ans late = {
        .status = 408, .code = "slow_request", .ran = "no", .close = TRUE
      };
      counter_add (gcl->gat->options.counter_set, COUNTER_CLIENT_SLOW, 1);
      ans_send (gcl, gcl->exc ? gcl->exc->id : NULL, &late);
    }
  gcl_done (gcl, FALSE);
  return G_SOURCE_REMOVE;
}

static void
set_timer (struct gcl *gcl, gint64 us, gboolean head)
{
  g_clear_handle_id (&gcl->timer, g_source_remove);
  gcl->head_timer = head;
  if (us > 0)
    gcl->timer = g_timeout_add ((guint)(us / CLK_MS) + 1, on_timer, gcl);
}

static void
wait_for_request (struct gcl *gcl)
{
  set_timer (gcl, (gint64)((double)limits_of (gcl)->idle_us * IDLE_MARGIN),
             FALSE);
}

static void
refuse_and_end (struct gcl *gcl, guint status, const char *code)
{
  const struct ans ans
      = { .status = status, .code = code, .ran = "no", .close = TRUE };
  counter_add (gcl->gat->options.counter_set,
               status == 400 ? COUNTER_INVALID_REQUEST : COUNTER_TOO_LARGE, 1);
  log_write (&(struct log_entry){ .level = LOG_INFO,
                                  .event = "request.rejected",
                                  .request_id = gcl->exc ? gcl->exc->id : NULL,
                                  .peer = gcl->peer },
             "status=%u code=%s", status, code);
  ans_send (gcl, gcl->exc ? gcl->exc->id : NULL, &ans);
  gcl_done (gcl, FALSE);
}

static gboolean
on_head (void *ctx, const struct http_head *head)
{
  struct gcl *gcl = ctx;
  gcl->exc = exc_new (gcl, head);
  gcl->too_long
      = head->has_length && head->length > limits_of (gcl)->body_bytes;
  if (gcl->too_long)
    return FALSE;
  if (http_head_lists (head, "expect", STR_LIT ("100-continue"))
      && (head->chunked || head->length > 0))
    tcp_conn_write (gcl->tcp_conn, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  set_timer (gcl, BODY_STALL_US, TRUE);
  return TRUE;
}

static gboolean
on_body (void *ctx, struct str bytes)
{
  struct gcl *gcl = ctx;
  gcl->too_long = gcl->exc->body->len + bytes.n > limits_of (gcl)->body_bytes;
  return !gcl->too_long && exc_body (gcl->exc, bytes);
}

static void
on_end (void *ctx)
{
  struct gcl *gcl = ctx;
  g_clear_handle_id (&gcl->timer, g_source_remove);
}

static const struct http_reader_handler reader = { on_head, on_body, on_end };

static gboolean
is_busy (const struct gcl *gcl)
{
  return gcl->exc != NULL && gcl->exc->state != EXC_RECEIVING;
}

static void
on_feed_error (struct gcl *gcl, gssize code)
{
  if (gcl->too_long)
    refuse_and_end (gcl, 413, "body_too_large");
  else if (code == ERR_TOO_LARGE)
    refuse_and_end (gcl, 431, "head_too_large");
  else
    refuse_and_end (gcl, 400, "malformed");
}

/* Reads what has come until a request is whole; the rest waits for its
   answer.  */
static void
gcl_feed (struct gcl *gcl)
{
  gcl->feeding = TRUE;
  while (!gcl->dead && !is_busy (gcl) && gcl->stash->len > 0)
    {
      struct err err = { 0 };
      struct str bytes = { (const char *)gcl->stash->data, gcl->stash->len };
      if (!http_reader_in_message (gcl->http_reader) && gcl->exc == NULL)
        set_timer (gcl, limits_of (gcl)->header_us, TRUE);
      gssize n = http_reader_feed (gcl->http_reader, bytes, &err);
      if (n < 0)
        {
          g_byte_array_set_size (gcl->stash, 0);
          on_feed_error (gcl, n);
          break;
        }
      g_byte_array_remove_range (gcl->stash, 0, (guint)n);
      if (http_reader_in_message (gcl->http_reader))
        continue;
      gcl->served++;
      exc_whole (gcl->exc);
    }
  gcl->feeding = FALSE;
  if (gcl->dead)
    gcl_free (gcl);
  else if (gcl->tcp_conn != NULL)
    tcp_conn_pause (gcl->tcp_conn, gcl->stash->len >= GAT_STASH_MAX);
}

static void
on_data (void *ctx, struct str data)
{
  struct gcl *gcl = ctx;
  g_byte_array_append (gcl->stash, (const guint8 *)data.p, (guint)data.n);
  gcl_feed (gcl);
}

static void
leave (struct gcl *gcl)
{
  if (gcl->exc != NULL)
    exc_gone (gcl->exc);
  drop (gcl);
}

static void
on_ended (void *ctx)
{
  leave (ctx);
}

static void
on_failed (void *ctx, const struct err *err)
{
  (void)err;
  leave (ctx);
}

static void
on_drained (void *ctx)
{
  struct gcl *gcl = ctx;
  if (gcl->exc != NULL)
    exc_drained (gcl->exc);
}

static const struct tcp_conn_handler connection = {
  .data = on_data, .ended = on_ended, .failed = on_failed, .drained = on_drained
};

/* Takes a caller's connection.  */
void
gcl_accept (struct gat *gat, int fd, const char *peer)
{
  struct gcl *gcl = g_new0 (struct gcl, 1);
  const struct tcp_conn_options options
      = { .handler = &connection, .ctx = gcl, .silence_ms = SILENCE_MS };
  gcl->gat = gat;
  gcl->stash = g_byte_array_new ();
  gcl->http_reader = http_reader_new (FALSE, &reader, gcl);
  http_reader_limit_head (gcl->http_reader, limits_of (gcl)->header_bytes);
  g_strlcpy (gcl->peer, peer, sizeof gcl->peer);
  gcl->tcp_conn = tcp_conn_adopt (fd, &options);
  gcl->link.data = gcl;
  g_queue_push_tail_link (&gat->callers, &gcl->link);
  wait_for_request (gcl);
  if (gat->callers.length > CALLERS_MAX)
    finish (gcl);
}

/* The answer is complete. KEEP: the connection may serve another request.
   Frees the exchange, and the connection unless it is kept.  */
void
gcl_done (struct gcl *gcl, gboolean keep)
{
  g_clear_pointer (&gcl->exc, exc_free);
  if (!keep || gcl->ending)
    {
      finish (gcl);
      return;
    }
  http_reader_next (gcl->http_reader, FALSE);
  http_reader_limit_head (gcl->http_reader, limits_of (gcl)->header_bytes);
  wait_for_request (gcl);
  if (!gcl->feeding && gcl->stash->len > 0)
    gcl_feed (gcl);
}

/* Breaks an answer off, so that it cannot look complete.  */
void
gcl_cut (struct gcl *gcl)
{
  g_clear_pointer (&gcl->exc, exc_free);
  tcp_conn_reset (g_steal_pointer (&gcl->tcp_conn));
  drop (gcl);
}

/* Takes no further request; an idle connection ends now.  */
void
gcl_stop (struct gcl *gcl)
{
  gcl->ending = TRUE;
  if (gcl->exc == NULL && !http_reader_in_message (gcl->http_reader)
      && gcl->stash->len == 0 && tcp_conn_is_idle (gcl->tcp_conn))
    finish (gcl);
}
