#include "load/traffic.h"
#include "standin/faketext.h"

#include <glib-unix.h>
#include <libsoup/soup.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define READ_SIZE 16384           /* bytes */
#define READ_TIMEOUT_S 60         /* without a byte */
#define DRAIN_TIMEOUT_US 30000000 /* for responses that are due at the end */
#define ERROR_BODY_MAX 512        /* bytes that are searched for a code */

struct run
{
  const struct traffic_options *options;
  struct traffic_result *result;
  GMainLoop *loop;
  GRand *rand;
  GPtrArray *clients;  /* struct client, owned */
  GQueue idle_clients; /* struct client, borrowed; open loop */
  guint busy_clients;  /* that wait for a response or think */
  guint64 requests_sent;
  guint n_targets;
  gint64 measure_start; /* monotonic microseconds */
  gint64 measure_end;
  gint64 next_arrival;  /* open loop */
  int arrival_timer;    /* timerfd; open loop */
  GCancellable *cancel; /* disconnects all clients */
};

struct client
{
  struct run *run;
  SoupSession *session;
  SoupMessage *message;
  GInputStream *input;
  guint64 prompt_hash;
  guint expected_tokens; /* of the complete response */
  GString *line;         /* incomplete line received so far */
  GString *text;         /* generated, received so far */
  GString *body; /* of a response that is not streamed, or the line with a
                    stream's error */
  gint64 start_time;
  gint64 first_token_time; /* 0: no token yet */
  gint64 last_token_time;
  gboolean done_received; /* the stream's "[DONE]" */
  char buffer[READ_SIZE];
};

static void send_request (struct client *client, gint64 start_time);
static void next_request (struct client *client);

/* Tells whether T lies within the measured time.  */
static gboolean
is_measured (const struct run *run, gint64 t)
{
  return t >= run->measure_start && t < run->measure_end;
}

static void
count_error (struct client *client, const char *code)
{
  GHashTable *errors = client->run->result->errors;
  if (!is_measured (client->run, client->start_time))
    return;
  gsize n = GPOINTER_TO_SIZE (g_hash_table_lookup (errors, code));
  g_hash_table_insert (errors, g_strdup (code), GSIZE_TO_POINTER (n + 1));
}

/* Appends the string that follows KEY in JSON text. The stand-in engine's texts
   contain no characters that JSON escapes.  */
static gboolean
append_member (GString *out, const char *json, const char *key)
{
  const char *at = strstr (json, key);
  if (at == NULL)
    return FALSE;
  at += strlen (key);
  const char *end = strchr (at, '"');
  if (end == NULL || end == at)
    return FALSE;
  g_string_append_len (out, at, end - at);
  return TRUE;
}

static gboolean
append_text (GString *out, const char *json)
{
  return append_member (out, json, "\"content\":\"")
         || append_member (out, json, "\"text\":\"");
}

static void
count_token (struct client *client, gint64 now)
{
  struct traffic_result *result = client->run->result;
  gboolean measured = is_measured (client->run, now);
  if (measured)
    result->tokens++;
  if (client->first_token_time == 0)
    {
      gint64 ttft = now - client->start_time;
      client->first_token_time = now;
      if (measured)
        g_array_append_val (result->ttft_us, ttft);
    }
  else if (measured)
    {
      gint64 tbt = now - client->last_token_time;
      g_array_append_val (result->tbt_us, tbt);
    }
  client->last_token_time = now;
}

static void
handle_line (struct client *client, gint64 now)
{
  const char *line = client->line->str;
  if (strcmp (line, "data: [DONE]") == 0)
    client->done_received = TRUE;
  else if (strstr (line, "\"error\"") != NULL)
    g_string_append (client->body, line);
  else if (append_text (client->text, line))
    count_token (client, now);
  g_string_truncate (client->line, 0);
}

static void
handle_stream_bytes (struct client *client, const char *data, gsize size)
{
  gint64 now = g_get_monotonic_time ();
  while (size > 0)
    {
      const char *end = memchr (data, '\n', size);
      gsize n = end != NULL ? (gsize)(end - data) : size;
      g_string_append_len (client->line, data, (gssize)n);
      if (end == NULL)
        return;
      handle_line (client, now);
      data += n + 1;
      size -= n + 1;
    }
}

static gboolean
is_expected_text (const struct client *client)
{
  GString *expected = g_string_new (NULL);
  faketext_append (expected, client->prompt_hash, 0, client->expected_tokens);
  gboolean same = g_string_equal (expected, client->text);
  g_string_free (expected, TRUE);
  return same;
}

/* Checks a complete response. Returns NULL if it is correct, else an error code
   that is freed by g_free.  */
static char *
check_response (struct client *client)
{
  guint status = soup_message_get_status (client->message);
  GString *code = g_string_new (NULL);
  if (status != SOUP_STATUS_OK || client->body->len > 0)
    {
      g_string_printf (code, "%u_", status);
      if (!append_member (code, client->body->str, "\"code\": \""))
        append_member (code, client->body->str, "\"code\":\"");
    }
  else if (client->run->options->stream && !client->done_received)
    g_string_assign (code, "cut");
  else if (!is_expected_text (client))
    g_string_assign (code, "wrong_text");
  gboolean ok = code->len == 0;
  char *text = g_string_free (code, FALSE);
  if (ok)
    g_clear_pointer (&text, g_free);
  return text;
}

static gboolean
on_think_time_over (gpointer ctx)
{
  struct client *client = ctx;
  gint64 now = g_get_monotonic_time ();
  if (now < client->run->measure_end)
    send_request (client, now);
  else
    next_request (client);
  return G_SOURCE_REMOVE;
}

/* Draws an exponentially distributed value.  */
static gint64
exponential (struct run *run, double mean)
{
  return (gint64)(-mean * log (1 - g_rand_double (run->rand)));
}

/* Goes on after a response: sends the next request, at once or after the think
   time, or becomes idle. The last client to finish after the end of the
   measurement ends the run.  */
static void
next_request (struct client *client)
{
  struct run *run = client->run;
  gint64 now = g_get_monotonic_time ();
  run->busy_clients--;
  if (now >= run->measure_end)
    {
      if (run->busy_clients == 0)
        g_main_loop_quit (run->loop);
    }
  else if (run->options->rate_per_s > 0)
    g_queue_push_tail (&run->idle_clients, client);
  else if (run->options->think_us > 0)
    {
      gint64 us = exponential (run, (double)run->options->think_us);
      run->busy_clients++;
      g_timeout_add ((guint)((us + 500) / 1000), on_think_time_over, client);
    }
  else
    {
      run->busy_clients++;
      send_request (client, now);
    }
}

static void
request_finished (struct client *client, const char *failure)
{
  struct traffic_result *result = client->run->result;
  gint64 total = g_get_monotonic_time () - client->start_time;
  gboolean aborted = g_cancellable_is_cancelled (client->run->cancel);
  char *code = failure != NULL ? g_strdup (failure) : check_response (client);
  if (aborted && code != NULL)
    result->aborted++;
  else if (code != NULL)
    count_error (client, code);
  else if (is_measured (client->run, client->start_time))
    {
      result->requests++;
      g_array_append_val (result->total_us, total);
    }
  g_free (code);
  g_clear_object (&client->input);
  g_clear_object (&client->message);
  next_request (client);
}

static void read_more (struct client *client);

/* Handles a complete response that was not streamed. All its tokens count as
   arriving at once.  */
static void
handle_buffered_response (struct client *client)
{
  if (soup_message_get_status (client->message) == SOUP_STATUS_OK
      && append_text (client->text, client->body->str))
    {
      g_string_truncate (client->body, 0);
      count_token (client, g_get_monotonic_time ());
      if (is_measured (client->run, client->last_token_time))
        client->run->result->tokens += client->expected_tokens - 1;
    }
}

static void
on_read (GObject *source, GAsyncResult *async, gpointer ctx)
{
  struct client *client = ctx;
  GError *error = NULL;
  gssize n
      = g_input_stream_read_finish (G_INPUT_STREAM (source), async, &error);
  gboolean streams
      = client->run->options->stream
        && soup_message_get_status (client->message) == SOUP_STATUS_OK;
  if (n > 0)
    {
      if (streams)
        handle_stream_bytes (client, client->buffer, (gsize)n);
      else
        g_string_append_len (client->body, client->buffer, n);
      read_more (client);
      return;
    }
  g_clear_error (&error);
  if (n == 0 && !streams)
    handle_buffered_response (client);
  request_finished (client, n < 0 ? "transport_read" : NULL);
}

static void
read_more (struct client *client)
{
  g_input_stream_read_async (client->input, client->buffer, READ_SIZE,
                             G_PRIORITY_DEFAULT, client->run->cancel, on_read,
                             client);
}

static void
on_sent (GObject *source, GAsyncResult *async, gpointer ctx)
{
  struct client *client = ctx;
  GError *error = NULL;
  client->input
      = soup_session_send_finish (SOUP_SESSION (source), async, &error);
  if (client->input == NULL)
    {
      g_clear_error (&error);
      request_finished (client, "transport_send");
      return;
    }
  read_more (client);
}

/* Draws a class by the shares of the options. Returns "NAME=SHARE" with the
   length of NAME in SIZE, or NULL for no class.  */
static const char *
pick_class (struct run *run, gsize *size)
{
  const char *const *classes = run->options->classes;
  double at = g_rand_double (run->rand);
  for (; classes != NULL && *classes != NULL; classes++)
    {
      const char *equals = strchr (*classes, '=');
      at -= equals != NULL ? g_ascii_strtod (equals + 1, NULL) : 1;
      *size = equals != NULL ? (gsize)(equals - *classes) : strlen (*classes);
      if (at < 0)
        return *classes;
    }
  return NULL;
}

/* Draws the number of tokens of a response.  */
static guint
pick_length (struct run *run)
{
  const struct traffic_options *options = run->options;
  gint32 spread = (gint32)MIN (options->spread, options->tokens - 1);
  return options->tokens
         + (guint)g_rand_int_range (run->rand, -spread, spread + 1);
}

/* Signal handler: libsoup has sent the request again by itself.  */
static void
on_restarted (SoupMessage *msg, gpointer ctx)
{
  (void)msg;
  count_error (ctx, "resent");
}

/* Returns a prompt that consists of one of the shared prefixes and a unique
   rest.  */
static GString *
make_prompt (struct run *run)
{
  const struct traffic_options *options = run->options;
  GString *prompt = g_string_new (NULL);
  guint prefix = (guint)g_rand_int_range (run->rand, 0,
                                          (gint32)MAX (options->prefixes, 1));
  while (prompt->len < MAX (options->prompt_size, FAKETEXT_PREFIX_BYTES))
    faketext_append (prompt, prefix + 1, (guint)prompt->len,
                     (guint)prompt->len + 8);
  g_string_append_printf (
      prompt, " request %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT,
      run->requests_sent, options->seed);
  if (options->tokens > 0)
    g_string_append_printf (prompt, " [len=%u]", pick_length (run));
  return prompt;
}

static GBytes *
make_request_body (struct client *client)
{
  const struct traffic_options *options = client->run->options;
  GString *prompt = make_prompt (client->run);
  struct str s = { prompt->str, prompt->len };
  client->prompt_hash = faketext_hash (s);
  client->expected_tokens = faketext_length (s, client->prompt_hash);
  GString *body = g_string_new (NULL);
  g_string_printf (body,
                   "{\"model\":\"%s\",\"stream\":%s,\"messages\":"
                   "[{\"role\":\"user\",\"content\":\"%s\"}]}",
                   options->model, options->stream ? "true" : "false",
                   prompt->str);
  g_string_free (prompt, TRUE);
  return g_string_free_to_bytes (body);
}

static void
add_headers (struct client *client)
{
  SoupMessageHeaders *headers
      = soup_message_get_request_headers (client->message);
  const struct traffic_options *options = client->run->options;
  gsize size;
  const char *class_name = pick_class (client->run, &size);
  if (options->key != NULL)
    {
      char *value = g_strdup_printf ("Bearer %s", options->key);
      soup_message_headers_append (headers, "Authorization", value);
      g_free (value);
    }
  if (class_name != NULL)
    {
      char *value = g_strndup (class_name, size);
      soup_message_headers_append (headers, "Jacinthward-Class", value);
      g_free (value);
    }
}

static void
send_request (struct client *client, gint64 start_time)
{
  struct run *run = client->run;
  const char *target
      = run->options->targets[run->requests_sent % run->n_targets];
  char *uri = g_strdup_printf ("http://%s/v1/chat/completions", target);
  run->requests_sent++;
  client->message = soup_message_new ("POST", uri);
  g_free (uri);
  /* libsoup opens a new connection for each POST that is not idempotent. */
  soup_message_add_flags (client->message,
                          SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_IDEMPOTENT);
  g_signal_connect (client->message, "restarted", G_CALLBACK (on_restarted),
                    client);
  GBytes *body = make_request_body (client);
  soup_message_set_request_body_from_bytes (client->message, "application/json",
                                            body);
  g_bytes_unref (body);
  add_headers (client);
  g_string_truncate (client->line, 0);
  g_string_truncate (client->text, 0);
  g_string_truncate (client->body, 0);
  client->start_time = start_time;
  client->first_token_time = 0;
  client->done_received = FALSE;
  soup_session_send_async (client->session, client->message, G_PRIORITY_DEFAULT,
                           run->cancel, on_sent, client);
}

static void
set_arrival_timer (struct run *run)
{
  gint64 wait = MAX (run->next_arrival - g_get_monotonic_time (), 1);
  struct itimerspec at
      = { .it_value = { .tv_sec = wait / G_USEC_PER_SEC,
                        .tv_nsec = wait % G_USEC_PER_SEC * 1000 } };
  timerfd_settime (run->arrival_timer, 0, &at, NULL);
}

static gboolean
on_arrival (gint fd, GIOCondition condition, gpointer ctx)
{
  (void)condition;
  struct run *run = ctx;
  guint64 expirations;
  gint64 now = g_get_monotonic_time ();
  if (read (fd, &expirations, sizeof expirations) < 0)
    return G_SOURCE_CONTINUE;
  while (run->next_arrival <= now && now < run->measure_end)
    {
      struct client *client = g_queue_pop_head (&run->idle_clients);
      if (client != NULL)
        {
          run->busy_clients++;
          send_request (client, run->next_arrival);
        }
      else if (is_measured (run, run->next_arrival))
        run->result->dropped++;
      run->next_arrival += exponential (run, (double)G_USEC_PER_SEC
                                                 / run->options->rate_per_s);
    }
  if (now < run->measure_end)
    set_arrival_timer (run);
  return G_SOURCE_CONTINUE;
}

/* Disconnects the clients that still wait for a response.  */
static gboolean
on_drain_timeout (gpointer ctx)
{
  struct run *run = ctx;
  g_cancellable_cancel (run->cancel);
  return G_SOURCE_REMOVE;
}

static gboolean
on_end (gpointer ctx)
{
  struct run *run = ctx;
  if (run->busy_clients == 0)
    g_main_loop_quit (run->loop);
  else if (run->options->abort_at_end)
    g_cancellable_cancel (run->cancel);
  return G_SOURCE_REMOVE;
}

/* Each client has a session of its own: a shared one polls all its idle
   connections for each request.  */
static struct client *
client_new (struct run *run)
{
  struct client *client = g_new0 (struct client, 1);
  client->run = run;
  client->session = soup_session_new_with_options (
      "timeout", READ_TIMEOUT_S, "proxy-resolver", NULL, NULL);
  client->line = g_string_new (NULL);
  client->text = g_string_new (NULL);
  client->body = g_string_new (NULL);
  return client;
}

static void
client_free (gpointer data)
{
  struct client *client = data;
  soup_session_abort (client->session);
  g_object_unref (client->session);
  g_string_free (client->line, TRUE);
  g_string_free (client->text, TRUE);
  g_string_free (client->body, TRUE);
  g_free (client);
}

static void
start_clients (struct run *run)
{
  for (guint i = 0; i < run->options->clients; i++)
    {
      struct client *client = client_new (run);
      g_ptr_array_add (run->clients, client);
      if (run->options->rate_per_s > 0)
        g_queue_push_tail (&run->idle_clients, client);
      else
        {
          run->busy_clients++;
          send_request (client, g_get_monotonic_time ());
        }
    }
}

static void
result_init (struct traffic_result *result)
{
  memset (result, 0, sizeof *result);
  result->ttft_us = g_array_new (FALSE, FALSE, sizeof (gint64));
  result->tbt_us = g_array_new (FALSE, FALSE, sizeof (gint64));
  result->total_us = g_array_new (FALSE, FALSE, sizeof (gint64));
  result->errors
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Generates load, with a main loop of its own on the default context, until the
   measurement has ended and the last responses have arrived. RESULT is freed by
   traffic_result_clear.  */
void
traffic_run (const struct traffic_options *options,
             struct traffic_result *result)
{
  struct run run = { .options = options, .result = result };
  result_init (result);
  run.loop = g_main_loop_new (NULL, FALSE);
  run.rand = g_rand_new_with_seed ((guint32)options->seed);
  run.clients = g_ptr_array_new_with_free_func (client_free);
  run.n_targets = g_strv_length ((char **)options->targets);
  run.measure_start = g_get_monotonic_time () + options->warmup_us;
  run.measure_end = run.measure_start + options->duration_us;
  run.next_arrival = g_get_monotonic_time ();
  run.arrival_timer
      = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  guint watch = g_unix_fd_add (run.arrival_timer, G_IO_IN, on_arrival, &run);
  gint64 run_us = options->warmup_us + options->duration_us;
  g_timeout_add ((guint)(run_us / 1000) + 1, on_end, &run);
  guint drain = g_timeout_add ((guint)((run_us + DRAIN_TIMEOUT_US) / 1000),
                               on_drain_timeout, &run);
  run.cancel = g_cancellable_new ();
  start_clients (&run);
  if (options->rate_per_s > 0)
    set_arrival_timer (&run);
  g_main_loop_run (run.loop);
  if (options->abort_at_end || !g_cancellable_is_cancelled (run.cancel))
    g_source_remove (drain);
  else
    g_hash_table_insert (result->errors, g_strdup ("unfinished"),
                         GSIZE_TO_POINTER (result->aborted));
  g_source_remove (watch);
  close (run.arrival_timer);
  result->seconds = (double)options->duration_us / G_USEC_PER_SEC;
  g_ptr_array_unref (run.clients);
  g_object_unref (run.cancel);
  g_rand_free (run.rand);
  g_main_loop_unref (run.loop);
}

void
traffic_result_clear (struct traffic_result *result)
{
  g_array_unref (result->ttft_us);
  g_array_unref (result->tbt_us);
  g_array_unref (result->total_us);
  g_hash_table_unref (result->errors);
}

static gint
compare_int64 (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;
  return x < y ? -1 : x > y;
}

/* Sorts VALUES, an array of gint64, and returns the one below which SHARE (0 to
   1) of them lie, or -1 if there are no values.  */
gint64
traffic_percentile (GArray *values, double share)
{
  if (values->len == 0)
    return -1;
  g_array_sort (values, compare_int64);
  guint at = (guint)(share * (double)values->len);
  return g_array_index (values, gint64, MIN (at, values->len - 1));
}

/* Returns the number of failed requests, including wrong responses.  */
guint64
traffic_errors (const struct traffic_result *result)
{
  guint64 n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, result->errors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += GPOINTER_TO_SIZE (value);
  return n;
}

static void
print_percentiles (GArray *values, const char *prefix, const char *name)
{
  static const int percents[] = { 50, 90, 95, 99 };
  for (guint i = 0; i < G_N_ELEMENTS (percents); i++)
    g_print ("%s%s_p%d_us %" G_GINT64_FORMAT " us\n", prefix, name, percents[i],
             traffic_percentile (values, percents[i] / 100.0));
}

/* Prints the result as lines "name value unit"; each name begins with
   PREFIX.  */
void
traffic_print (const struct traffic_result *result, const char *prefix)
{
  GHashTableIter iter;
  gpointer code;
  gpointer n;
  g_print ("%srequests_per_s %.1f 1/s\n", prefix,
           (double)result->requests / result->seconds);
  g_print ("%stokens_per_s %.1f 1/s\n", prefix,
           (double)result->tokens / result->seconds);
  print_percentiles (result->ttft_us, prefix, "ttft");
  print_percentiles (result->tbt_us, prefix, "tbt");
  print_percentiles (result->total_us, prefix, "total");
  g_print ("%sdropped %" G_GUINT64_FORMAT " requests\n", prefix,
           result->dropped);
  g_hash_table_iter_init (&iter, result->errors);
  while (g_hash_table_iter_next (&iter, &code, &n))
    g_print ("%serror_%s %zu requests\n", prefix, (char *)code,
             GPOINTER_TO_SIZE (n));
}
