#include "load/traffic.h"
#include "standin/txt.h"

#include <glib-unix.h>
#include <libsoup/soup.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define READ_SIZE 16384    /* bytes */
#define TIMEOUT_S 60       /* without a byte */
#define DRAIN_US 30000000  /* for the answers that are due at the end */
#define ERROR_BODY_MAX 512 /* bytes that are looked at for a code */

struct load
{
  const struct traffic_options *options;
  struct traffic_result *result;
  GMainLoop *loop;
  GRand *rand;
  GPtrArray *callers; /* struct caller, owned */
  GQueue idle;        /* struct caller, borrowed; open loop */
  guint busy;         /* callers with a request */
  guint64 requests;   /* sent */
  guint n_targets;
  gint64 begin; /* of the measurement, monotonic microseconds */
  gint64 end;
  gint64 next;          /* arrival, open loop */
  int timer;            /* timerfd of the arrivals */
  GCancellable *cancel; /* at the end */
};

struct caller
{
  struct load *load;
  SoupSession *session;
  SoupMessage *msg;
  GInputStream *in;
  guint64 hash;  /* of the prompt */
  guint due;     /* tokens of the whole answer */
  GString *line; /* the part of a line that has come */
  GString *text; /* of the answer */
  GString *body; /* the beginning of an error or of a whole answer */
  gint64 t_start;
  gint64 t_first; /* 0: no token yet */
  gint64 t_last;
  gboolean done; /* the stream's last event has come */
  char buffer[READ_SIZE];
};

static void start (struct caller *caller, gint64 t_start);
static void go_on (struct caller *caller);

static gboolean
is_measured (const struct load *load, gint64 t)
{
  return t >= load->begin && t < load->end;
}

static void
count_error (struct caller *caller, const char *code)
{
  GHashTable *errors = caller->load->result->errors;
  if (!is_measured (caller->load, caller->t_start))
    return;
  gsize n = GPOINTER_TO_SIZE (g_hash_table_lookup (errors, code));
  g_hash_table_insert (errors, g_strdup (code), GSIZE_TO_POINTER (n + 1));
}

/* Adds the string that follows KEY in JSON text. The stand-in's texts have no
   characters that JSON escapes.  */
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
count_token (struct caller *caller, gint64 now)
{
  struct traffic_result *result = caller->load->result;
  gboolean measured = is_measured (caller->load, now);
  if (measured)
    result->tokens++;
  if (caller->t_first == 0)
    {
      gint64 ttft = now - caller->t_start;
      caller->t_first = now;
      if (measured)
        g_array_append_val (result->ttft_us, ttft);
    }
  else if (measured)
    {
      gint64 tbt = now - caller->t_last;
      g_array_append_val (result->tbt_us, tbt);
    }
  caller->t_last = now;
}

static void
take_line (struct caller *caller, gint64 now)
{
  const char *line = caller->line->str;
  if (strcmp (line, "data: [DONE]") == 0)
    caller->done = TRUE;
  else if (strstr (line, "\"error\"") != NULL)
    g_string_append (caller->body, line);
  else if (append_text (caller->text, line))
    count_token (caller, now);
  g_string_truncate (caller->line, 0);
}

static void
take_stream (struct caller *caller, const char *data, gsize size)
{
  gint64 now = g_get_monotonic_time ();
  while (size > 0)
    {
      const char *end = memchr (data, '\n', size);
      gsize n = end != NULL ? (gsize)(end - data) : size;
      g_string_append_len (caller->line, data, (gssize)n);
      if (end == NULL)
        return;
      take_line (caller, now);
      data += n + 1;
      size -= n + 1;
    }
}

static gboolean
is_expected (const struct caller *caller)
{
  GString *expected = g_string_new (NULL);
  txt_append (expected, caller->hash, 0, caller->due);
  gboolean same = g_string_equal (expected, caller->text);
  g_string_free (expected, TRUE);
  return same;
}

/* Judges the whole answer. Returns NULL if it is right, else a code, freed by
   the caller.  */
static char *
judge (struct caller *caller)
{
  guint status = soup_message_get_status (caller->msg);
  GString *code = g_string_new (NULL);
  if (status != SOUP_STATUS_OK || caller->body->len > 0)
    {
      g_string_printf (code, "%u_", status);
      if (!append_member (code, caller->body->str, "\"code\": \""))
        append_member (code, caller->body->str, "\"code\":\"");
    }
  else if (caller->load->options->stream && !caller->done)
    g_string_assign (code, "cut");
  else if (!is_expected (caller))
    g_string_assign (code, "wrong_text");
  gboolean right = code->len == 0;
  char *text = g_string_free (code, FALSE);
  if (right)
    g_clear_pointer (&text, g_free);
  return text;
}

static gboolean
on_thought (gpointer ctx)
{
  struct caller *caller = ctx;
  gint64 now = g_get_monotonic_time ();
  if (now < caller->load->end)
    start (caller, now);
  else
    go_on (caller);
  return G_SOURCE_REMOVE;
}

static gint64
exponential (struct load *load, double mean)
{
  return (gint64)(-mean * log (1 - g_rand_double (load->rand)));
}

static void
go_on (struct caller *caller)
{
  struct load *load = caller->load;
  gint64 now = g_get_monotonic_time ();
  load->busy--;
  if (now >= load->end)
    {
      if (load->busy == 0)
        g_main_loop_quit (load->loop);
    }
  else if (load->options->rate_per_s > 0)
    g_queue_push_tail (&load->idle, caller);
  else if (load->options->think_us > 0)
    {
      gint64 us = exponential (load, (double)load->options->think_us);
      load->busy++;
      g_timeout_add ((guint)((us + 500) / 1000), on_thought, caller);
    }
  else
    {
      load->busy++;
      start (caller, now);
    }
}

static void
finish (struct caller *caller, const char *failure)
{
  struct traffic_result *result = caller->load->result;
  gint64 total = g_get_monotonic_time () - caller->t_start;
  gboolean cut = g_cancellable_is_cancelled (caller->load->cancel);
  char *code = failure != NULL ? g_strdup (failure) : judge (caller);
  if (cut && code != NULL)
    result->aborted++;
  else if (code != NULL)
    count_error (caller, code);
  else if (is_measured (caller->load, caller->t_start))
    {
      result->requests++;
      g_array_append_val (result->total_us, total);
    }
  g_free (code);
  g_clear_object (&caller->in);
  g_clear_object (&caller->msg);
  go_on (caller);
}

static void read_more (struct caller *caller);

static void
take_whole (struct caller *caller)
{
  if (soup_message_get_status (caller->msg) == SOUP_STATUS_OK
      && append_text (caller->text, caller->body->str))
    {
      g_string_truncate (caller->body, 0);
      count_token (caller, g_get_monotonic_time ());
      if (is_measured (caller->load, caller->t_last))
        caller->load->result->tokens += caller->due - 1;
    }
}

static void
on_read (GObject *source, GAsyncResult *async, gpointer ctx)
{
  struct caller *caller = ctx;
  GError *error = NULL;
  gssize n
      = g_input_stream_read_finish (G_INPUT_STREAM (source), async, &error);
  gboolean streams = caller->load->options->stream
                     && soup_message_get_status (caller->msg) == SOUP_STATUS_OK;
  if (n > 0)
    {
      if (streams)
        take_stream (caller, caller->buffer, (gsize)n);
      else
        g_string_append_len (caller->body, caller->buffer, n);
      read_more (caller);
      return;
    }
  g_clear_error (&error);
  if (n == 0 && !streams)
    take_whole (caller);
  finish (caller, n < 0 ? "transport_read" : NULL);
}

static void
read_more (struct caller *caller)
{
  g_input_stream_read_async (caller->in, caller->buffer, READ_SIZE,
                             G_PRIORITY_DEFAULT, caller->load->cancel, on_read,
                             caller);
}

static void
on_sent (GObject *source, GAsyncResult *async, gpointer ctx)
{
  struct caller *caller = ctx;
  GError *error = NULL;
  caller->in = soup_session_send_finish (SOUP_SESSION (source), async, &error);
  if (caller->in == NULL)
    {
      g_clear_error (&error);
      finish (caller, "transport_send");
      return;
    }
  read_more (caller);
}

static const char *
pick_class (struct load *load, gsize *size)
{
  const char *const *classes = load->options->classes;
  double at = g_rand_double (load->rand);
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

static guint
pick_length (struct load *load)
{
  const struct traffic_options *options = load->options;
  gint32 spread = (gint32)MIN (options->spread, options->tokens - 1);
  return options->tokens
         + (guint)g_rand_int_range (load->rand, -spread, spread + 1);
}

/* libsoup sends the request again by itself.  */
static void
on_restarted (SoupMessage *msg, gpointer ctx)
{
  (void)msg;
  count_error (ctx, "resent");
}

/* Returns a prompt of a shared prefix and a tail of its own.  */
static GString *
make_prompt (struct load *load)
{
  const struct traffic_options *options = load->options;
  GString *prompt = g_string_new (NULL);
  guint prefix = (guint)g_rand_int_range (load->rand, 0,
                                          (gint32)MAX (options->prefixes, 1));
  while (prompt->len < MAX (options->prompt_size, TXT_PREFIX_BYTES))
    txt_append (prompt, prefix + 1, (guint)prompt->len, (guint)prompt->len + 8);
  g_string_append_printf (
      prompt, " request %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT,
      load->requests, options->seed);
  if (options->tokens > 0)
    g_string_append_printf (prompt, " [len=%u]", pick_length (load));
  return prompt;
}

static GBytes *
make_body (struct caller *caller)
{
  const struct traffic_options *options = caller->load->options;
  GString *prompt = make_prompt (caller->load);
  struct str s = { prompt->str, prompt->len };
  caller->hash = txt_hash (s);
  caller->due = txt_length (s, caller->hash);
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
add_headers (struct caller *caller)
{
  SoupMessageHeaders *headers = soup_message_get_request_headers (caller->msg);
  const struct traffic_options *options = caller->load->options;
  gsize size;
  const char *class = pick_class (caller->load, &size);
  if (options->key != NULL)
    {
      char *value = g_strdup_printf ("Bearer %s", options->key);
      soup_message_headers_append (headers, "Authorization", value);
      g_free (value);
    }
  if (class != NULL)
    {
      char *value = g_strndup (class, size);
      soup_message_headers_append (headers, "Jacinthward-Class", value);
      g_free (value);
    }
}

static void
start (struct caller *caller, gint64 t_start)
{
  struct load *load = caller->load;
  const char *target = load->options->targets[load->requests % load->n_targets];
  char *uri = g_strdup_printf ("http://%s/v1/chat/completions", target);
  load->requests++;
  caller->msg = soup_message_new ("POST", uri);
  g_free (uri);
  /* libsoup opens a connection for each POST that is not idempotent. */
  soup_message_add_flags (caller->msg,
                          SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_IDEMPOTENT);
  g_signal_connect (caller->msg, "restarted", G_CALLBACK (on_restarted),
                    caller);
  GBytes *body = make_body (caller);
  soup_message_set_request_body_from_bytes (caller->msg, "application/json",
                                            body);
  g_bytes_unref (body);
  add_headers (caller);
  g_string_truncate (caller->line, 0);
  g_string_truncate (caller->text, 0);
  g_string_truncate (caller->body, 0);
  caller->t_start = t_start;
  caller->t_first = 0;
  caller->done = FALSE;
  soup_session_send_async (caller->session, caller->msg, G_PRIORITY_DEFAULT,
                           load->cancel, on_sent, caller);
}

static void
set_timer (struct load *load)
{
  gint64 wait = MAX (load->next - g_get_monotonic_time (), 1);
  struct itimerspec at
      = { .it_value = { .tv_sec = wait / G_USEC_PER_SEC,
                        .tv_nsec = wait % G_USEC_PER_SEC * 1000 } };
  timerfd_settime (load->timer, 0, &at, NULL);
}

static gboolean
on_arrival (gint fd, GIOCondition condition, gpointer ctx)
{
  (void)condition;
  struct load *load = ctx;
  guint64 expirations;
  gint64 now = g_get_monotonic_time ();
  if (read (fd, &expirations, sizeof expirations) < 0)
    return G_SOURCE_CONTINUE;
  while (load->next <= now && now < load->end)
    {
      struct caller *caller = g_queue_pop_head (&load->idle);
      if (caller != NULL)
        {
          load->busy++;
          start (caller, load->next);
        }
      else if (is_measured (load, load->next))
        load->result->dropped++;
      load->next += exponential (load, (double)G_USEC_PER_SEC
                                           / load->options->rate_per_s);
    }
  if (now < load->end)
    set_timer (load);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_drained (gpointer ctx)
{
  struct load *load = ctx;
  g_cancellable_cancel (load->cancel);
  return G_SOURCE_REMOVE;
}

static gboolean
on_end (gpointer ctx)
{
  struct load *load = ctx;
  if (load->busy == 0)
    g_main_loop_quit (load->loop);
  else if (load->options->abort_at_end)
    g_cancellable_cancel (load->cancel);
  return G_SOURCE_REMOVE;
}

/* One session a caller: a shared one polls all its idle connections for each
   request.  */
static struct caller *
caller_new (struct load *load)
{
  struct caller *caller = g_new0 (struct caller, 1);
  caller->load = load;
  caller->session = soup_session_new_with_options (
      "timeout", TIMEOUT_S, "proxy-resolver", NULL, NULL);
  caller->line = g_string_new (NULL);
  caller->text = g_string_new (NULL);
  caller->body = g_string_new (NULL);
  return caller;
}

static void
caller_free (gpointer data)
{
  struct caller *caller = data;
  soup_session_abort (caller->session);
  g_object_unref (caller->session);
  g_string_free (caller->line, TRUE);
  g_string_free (caller->text, TRUE);
  g_string_free (caller->body, TRUE);
  g_free (caller);
}

static void
start_callers (struct load *load)
{
  for (guint i = 0; i < load->options->clients; i++)
    {
      struct caller *caller = caller_new (load);
      g_ptr_array_add (load->callers, caller);
      if (load->options->rate_per_s > 0)
        g_queue_push_tail (&load->idle, caller);
      else
        {
          load->busy++;
          start (caller, g_get_monotonic_time ());
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

/* Runs the load to its end, with a loop of its own on the default context.
   RESULT is cleared by traffic_result_clear.  */
void
traffic_run (const struct traffic_options *options,
             struct traffic_result *result)
{
  struct load load = { .options = options, .result = result };
  result_init (result);
  load.loop = g_main_loop_new (NULL, FALSE);
  load.rand = g_rand_new_with_seed ((guint32)options->seed);
  load.callers = g_ptr_array_new_with_free_func (caller_free);
  load.n_targets = g_strv_length ((char **)options->targets);
  load.begin = g_get_monotonic_time () + options->warmup_us;
  load.end = load.begin + options->duration_us;
  load.next = g_get_monotonic_time ();
  load.timer = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  guint watch = g_unix_fd_add (load.timer, G_IO_IN, on_arrival, &load);
  gint64 run_us = options->warmup_us + options->duration_us;
  g_timeout_add ((guint)(run_us / 1000) + 1, on_end, &load);
  guint drain
      = g_timeout_add ((guint)((run_us + DRAIN_US) / 1000), on_drained, &load);
  load.cancel = g_cancellable_new ();
  start_callers (&load);
  if (options->rate_per_s > 0)
    set_timer (&load);
  g_main_loop_run (load.loop);
  if (options->abort_at_end || !g_cancellable_is_cancelled (load.cancel))
    g_source_remove (drain);
  else
    g_hash_table_insert (result->errors, g_strdup ("unfinished"),
                         GSIZE_TO_POINTER (result->aborted));
  g_source_remove (watch);
  close (load.timer);
  result->seconds = (double)options->duration_us / G_USEC_PER_SEC;
  g_ptr_array_unref (load.callers);
  g_object_unref (load.cancel);
  g_rand_free (load.rand);
  g_main_loop_unref (load.loop);
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
compare (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;
  return x < y ? -1 : x > y;
}

/* Sorts VALUES and returns the one below which SHARE of them lie, or -1 if
   there is none.  */
gint64
traffic_percentile (GArray *values, double share)
{
  if (values->len == 0)
    return -1;
  g_array_sort (values, compare);
  guint at = (guint)(share * (double)values->len);
  return g_array_index (values, gint64, MIN (at, values->len - 1));
}

/* Returns the number of requests that were not answered right.  */
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

/* Prints the result as lines "name value unit", names with PREFIX.  */
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
