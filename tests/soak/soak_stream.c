/* Streams that servers break off and clients resume: how a server breaks one
   off, when a client comes back, and the check of what it has got. Guards
   against events that come twice, are missing or belong to another attempt,
   such as when the position of a client that has come back is lost because the
   first server ends before an event.  */
#include "soak/soak_traffic_internal.h"

#include <string.h>

/* Requests that a client sends for a stream, and the pause before each.  */
#define ATTEMPTS_MAX 4
#define RESUME_MIN_MS 5
#define RESUME_MAX_MS 60
/* A client does not come back with less time than that.  */
#define RESUME_LEFT_MIN_MS 200
/* That a client gives an attempt up if no bytes come for so long. The others
   wait until their deadline.  */
#define IMPATIENT 0.5
#define PATIENCE_MS 2000
/* Shares of the streams of a server with the fault.  */
#define BREAK_SHARE 0.8
#define BREAK_AT_FIRST 0.5 /* of these: before the first event */
#define BREAK_INSIDE 0.3   /* of these: in the middle of an event */
/* Share of the streams which such a server begins at the first event though it
   was told another one.  */
#define BEGIN_ANEW_SHARE 0.2

struct stream *
stream_new (struct soak_traffic *traffic, const char *key)
{
  struct stream *stream = g_new0 (struct stream, 1);
  stream->traffic = traffic;
  g_strlcpy (stream->key, key, sizeof stream->key);
  stream->deadline_at = g_get_monotonic_time ()
                        + SOAK_CLIENT_TIMEOUT_MS * G_TIME_SPAN_MILLISECOND;
  stream->patience_ms = g_rand_double (traffic->stream_rand) < IMPATIENT
                            ? PATIENCE_MS
                            : SOAK_CLIENT_TIMEOUT_MS;
  stream->trace = g_string_new (NULL);
  g_ptr_array_add (traffic->streams, stream);
  return stream;
}

void
stream_free (gpointer data)
{
  struct stream *stream = data;
  g_clear_handle_id (&stream->timer, g_source_remove);
  g_string_free (stream->trace, TRUE);
  g_free (stream);
}

/* Adds a line to the trace of the stream that REQUEST is an attempt at, if any.
 */
void
stream_trace (const struct request *request, const char *format, ...)
{
  if (request->stream == NULL)
    return;
  va_list args;
  va_start (args, format);
  GString *trace = request->stream->trace;
  g_string_append_printf (trace, "  %.3f %s ",
                          (double)g_get_monotonic_time () / G_USEC_PER_SEC,
                          request->id);
  g_string_append_vprintf (trace, format, args);
  g_string_append_c (trace, '\n');
  va_end (args);
}

/* Adds the ids of the events in BODY to the trace.  */
void
stream_trace_ids (const struct request *request, const GString *body)
{
  GString *ids = g_string_new (NULL);
  for (const char *p = strstr (body->str, "id: "); p != NULL;
       p = strstr (p + 1, "\nid: "))
    g_string_append_printf (
        ids, " %d", (int)g_ascii_strtoull (strchr (p, ' ') + 1, NULL, 10));
  stream_trace (request, "the client has %zu bytes with the events%s",
                body->len, ids->str);
  g_string_free (ids, TRUE);
}

/* Fills in how SERVER breaks off RESPONSE to REQUEST, if it does, or that it
   begins at the first event though it was told another one.  */
void
stream_plan (const struct server *server, struct request *request,
             struct scripted_response *response)
{
  static const char *const names[]
      = { [SCRIPTED_BREAK_NONE] = "in full",
          [SCRIPTED_BREAK_CLOSE] = "then to close",
          [SCRIPTED_BREAK_RESET] = "then to reset",
          [SCRIPTED_BREAK_SILENCE] = "then to be silent" };
  GRand *rand = server->traffic->stream_rand;
  gboolean faulty = g_get_monotonic_time () < server->breaks_until;
  if (faulty && response->first_event > 1
      && g_rand_double (rand) < BEGIN_ANEW_SHARE)
    {
      response->first_event = 1;
      request->broken_off = TRUE;
      server->traffic->counts.begun_anew++;
    }
  guint first = response->first_event;
  response->break_event = response->last_event + 1;
  if (faulty && first <= response->last_event
      && g_rand_double (rand) < BREAK_SHARE)
    {
      response->broken = (enum scripted_break)g_rand_int_range (
          rand, SCRIPTED_BREAK_CLOSE, SCRIPTED_BREAK_SILENCE + 1);
      response->break_event
          = g_rand_double (rand) < BREAK_AT_FIRST
                ? first
                : (guint)g_rand_int_range (rand, (gint)first,
                                           (gint)response->last_event + 1);
      response->break_inside = g_rand_double (rand) < BREAK_INSIDE;
    }
  stream_trace (
      request, "server %u is to send the events from %u before %u%s, %s",
      (guint)(server - server->traffic->servers), first, response->break_event,
      response->break_inside ? " and half of that" : "",
      names[response->broken]);
}

/* Checks the version of SERVER, which runs REQUEST from the event after
   POSITION on: that of the server that has sent the first event.  */
void
stream_check_version (const struct server *server, struct request *request,
                      guint position)
{
  guint number = (guint)(server - server->traffic->servers);
  guint version = soak_server_version (number);
  if (request->stream == NULL)
    return;
  if (position == 0)
    request->version = version;
  guint want = request->after > 0 ? request->stream->version : request->version;
  if (want != version)
    record_violation (server->traffic, request,
                      "a stream goes on at another software version");
}

/* Checks BODY of an incomplete response: it must begin with the events after
   the one that REQUEST names. Returns the last event that it has whole.  */
guint
stream_check_part (struct soak_traffic *traffic, const struct request *request,
                   const GString *body)
{
  guint last = request->after;
  GString *want = g_string_new (NULL);
  for (guint i = request->after + 1; i <= SOAK_STREAM_EVENTS; i++)
    {
      request_append_part (request, i, want);
      if (want->len <= body->len)
        last = i;
    }
  if (body->len > want->len || memcmp (body->str, want->str, body->len) != 0)
    {
      stream_trace_ids (request, body);
      record_violation (traffic, request,
                        "the events do not go on where the stream stood");
    }
  g_string_free (want, TRUE);
  return last;
}

static gboolean
on_resume (gpointer data)
{
  struct stream *stream = data;
  stream->timer = 0;
  if (!client_resume (stream))
    stream->traffic->counts.refused++;
  return G_SOURCE_REMOVE;
}

/* To be called when REQUEST has ended with STATUS, and with a whole response if
   COMPLETE. The client comes back unless the stream is complete or denied.
   RETRY_AFTER_US is that of the response; it waits for a third of its time at
   most.  */
void
stream_attempt_ended (const struct request *request, guint status,
                      gboolean complete, gint64 retry_after_us)
{
  struct stream *stream = request->stream;
  gint64 left_us = stream->deadline_at - g_get_monotonic_time ();
  stream_trace (request, "%s, status %u, the client stands at event %u",
                complete ? "complete" : "incomplete", status,
                stream->last_event);
  if (complete && (status == 200 || status == 401 || status == 404))
    return;
  gint64 pause_us = g_rand_int_range (stream->traffic->stream_rand,
                                      RESUME_MIN_MS, RESUME_MAX_MS)
                    * G_TIME_SPAN_MILLISECOND;
  pause_us = MAX (pause_us, MIN (retry_after_us, left_us / 3));
  if (stream->attempts >= ATTEMPTS_MAX
      || left_us - pause_us < RESUME_LEFT_MIN_MS * G_TIME_SPAN_MILLISECOND)
    return;
  stream->timer = g_timeout_add ((guint)(pause_us / G_TIME_SPAN_MILLISECOND),
                                 on_resume, stream);
}
