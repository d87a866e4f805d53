/* The answer of a backend server on its way to the caller: as it comes, or
   whole.  */
#include "gate/exc_int.h"

#include <string.h>

#define COMMON_PROMPT_TOKENS 500 /* at which health takes times as they are */

static void
put_head (const struct http_head *head, GString *out)
{
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", head->status,
                          http_reason_phrase (head->status));
  for (guint i = 0; i < head->fields->len; i++)
    {
      struct str name = http_head_field_name (head, i);
      if (!http_head_is_hop_by_hop (head, name))
        http_put_field_str (out, name, http_head_field_value (head, i));
    }
}

static gboolean
keeps (const struct exc *exc)
{
  return exc->head->keep_alive && exc->gat->stopping == 0 && !exc->gcl->ending;
}

/* The server has begun an answer that is passed on as it comes. When a stream
   goes on at another server the caller already has a head.  */
void
exc_begin (struct exc *exc, const struct http_head *head)
{
  exc_move (exc, EXC_ON_BEGIN);
  if (exc->head_sent)
    return;
  GString *out = g_string_new (NULL);
  put_head (head, out);
  exc->status = head->status;
  exc->is_sse = exc->route->kind == RTB_STREAM;
  exc->chunked = !exc->head->http_1_0;
  if (exc->chunked)
    http_put_field (out, "Transfer-Encoding", "chunked");
  if (!keeps (exc) || !exc->chunked)
    http_put_field (out, "Connection", "close");
  g_string_append (out, "\r\n");
  tcp_conn_write (exc->gcl->tcp_conn, out->str, out->len);
  g_string_free (out, TRUE);
  exc->head_sent = TRUE;
}

/* Takes the time to an event into the health of its server. What an engine
   reads meanwhile is no fault of its own, so only what goes beyond counts.  */
static void
note_event (struct exc *exc, gint64 gap, guint events)
{
  struct sch *sch = exc->gat->options.sch;
  struct hea *hea = &exc->ticket.server->hea;
  guint number = exc->ticket.server->number;
  if (!exc->ticket.begun)
    {
      gint64 beyond = gap - sch_expected_us (sch, &exc->ticket);
      histogram_add (exc->gat->options.histogram_set, HISTOGRAM_FIRST_EVENT,
                     gap);
      hea_ttft (hea, MAX (beyond, 0), COMMON_PROMPT_TOKENS);
      sch_begun (sch, &exc->ticket, gap);
      return;
    }
  histogram_add (exc->gat->options.histogram_set, HISTOGRAM_GAP, gap);
  if (sld_total (sch_loads (sch), number).unread == 0)
    hea_tbt (hea, gap / events, sld_own (sch_loads (sch), number)->requests);
}

static void
pass_on (struct exc *exc, struct str bytes)
{
  char size[32];
  if (bytes.n == 0)
    return;
  exc->answer_bytes += bytes.n;
  g_snprintf (size, sizeof size, "%" G_GSIZE_MODIFIER "x\r\n", bytes.n);
  if (exc->chunked)
    tcp_conn_write (exc->gcl->tcp_conn, size, strlen (size));
  tcp_conn_write (exc->gcl->tcp_conn, bytes.p, bytes.n);
  if (exc->chunked)
    tcp_conn_write (exc->gcl->tcp_conn, "\r\n", 2);
  if (tcp_conn_queued (exc->gcl->tcp_conn) > GAT_QUEUE_MAX)
    att_pause (exc->att, TRUE);
}

/* All that was queued for the caller has left.  */
void
exc_drained (struct exc *exc)
{
  if (exc->att != NULL)
    att_pause (exc->att, FALSE);
}

/* Bytes of an answer that is passed on; of an event stream only whole
   events, so that it can go on elsewhere.  */
void
exc_relay (struct exc *exc, struct str bytes)
{
  gint64 now = exc_now (exc);
  if (!exc->is_sse)
    {
      pass_on (exc, bytes);
      return;
    }
  GString *whole = g_string_new (NULL);
  guint before = exc->ses.events;
  ses_take (&exc->ses, bytes, whole);
  if (exc->ses.events > before)
    {
      gint64 gap = now - exc->last_event_at;
      note_event (exc, gap, exc->ses.events - before);
      if (before > 0)
        exc->longest_us = MAX (exc->longest_us, gap);
      else
        exc->first_us = now - exc->arrived;
      exc->last_event_at = now;
    }
  pass_on (exc, (struct str){ whole->str, whole->len });
  g_string_free (whole, TRUE);
}

/* The answer that was passed on is whole. Frees EXC.  */
void
exc_complete (struct exc *exc)
{
  struct gcl *gcl = exc->gcl;
  if (exc->is_sse && !ses_is_between (&exc->ses))
    {
      struct err err = { 0 };
      const struct str none = { "", 0 };
      err_set (&err, ERR_CLOSED, "backend.answer", "",
               "the stream ended inside an event");
      exc_lost (exc, RTY_LOST, NULL, none, &err);
      return;
    }
  gboolean keep = keeps (exc) && exc->chunked;
  if (exc->chunked)
    tcp_conn_write (gcl->tcp_conn, "0\r\n\r\n", 5);
  exc_move (exc, EXC_ON_ANSWER);
  exc_log_end (exc, "complete");
  counter_add (exc->gat->options.counter_set, COUNTER_ANSWERED, 1);
  exc_end_attempt (exc);
  gcl_done (gcl, keep);
}

/* Passes a whole answer of the server on. Frees EXC.  */
void
exc_answer_whole (struct exc *exc, const struct http_head *head,
                  struct str body)
{
  struct gcl *gcl = exc->gcl;
  histogram_add (exc->gat->options.histogram_set, HISTOGRAM_ATTEMPT,
                 exc_now (exc) - exc->attempted);
  GString *out = g_string_new (NULL);
  gboolean no_body = g_str_equal (exc->head->method, "HEAD")
                     || head->status == 204 || head->status == 304;
  put_head (head, out);
  exc->status = head->status;
  exc->answer_bytes = body.n;
  if (!no_body)
    http_put_field (out, "Content-Length", "%" G_GSIZE_FORMAT, body.n);
  else if (head->has_length && head->status != 204)
    http_put_field (out, "Content-Length", "%" G_GUINT64_FORMAT, head->length);
  gboolean keep = keeps (exc);
  if (!keep)
    http_put_field (out, "Connection", "close");
  g_string_append (out, "\r\n");
  if (!no_body)
    g_string_append_len (out, body.p, (gssize)body.n);
  tcp_conn_write (gcl->tcp_conn, out->str, out->len);
  g_string_free (out, TRUE);
  exc_move (exc, EXC_ON_ANSWER);
  exc_log_end (exc, head->status < 300 ? "complete" : "backend_failure");
  counter_add (exc->gat->options.counter_set,
               head->status < 300 ? COUNTER_ANSWERED : COUNTER_FAILED, 1);
  sch_ended (exc->gat->options.sch, &exc->ticket);
  gcl_done (gcl, keep);
}
