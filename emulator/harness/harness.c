#include "harness/harness.h"
#include "standin/faketext.h"

#include <gio/gunixsocketaddress.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#define POLL_MS 5
#define ERRORS_PRINTED 1000 /* bytes */
#define PORT_MIN 16000
#define PORT_MAX 32767 /* Linux's ephemeral ports begin above it */
#define EVENT_PREFIX "data: "
#define EVENT_DONE "data: [DONE]"

struct harness
{
  char *dir;
  GPtrArray *procs;  /* struct harness_process, owned */
  gboolean keep_dir; /* harness_free keeps the folder */
};

struct harness_stream
{
  SoupSession *session;
  SoupMessage *message;
  GDataInputStream *input; /* NULL: no response */
  gboolean refused;        /* the connection was refused */
};

static void
process_free (gpointer data)
{
  struct harness_process *proc = data;
  if (g_subprocess_get_identifier (proc->subprocess) != NULL)
    {
      g_subprocess_send_signal (proc->subprocess, SIGCONT);
      g_subprocess_force_exit (proc->subprocess);
      g_subprocess_wait (proc->subprocess, NULL, NULL);
    }
  g_free (proc->output_path);
  g_free (proc->errors_path);
  g_object_unref (proc->subprocess);
  g_free (proc->name);
  g_free (proc);
}

/* Creates a run with an empty temporary folder. It is freed by harness_free. */
struct harness *
harness_new (void)
{
  struct harness *harness = g_new0 (struct harness, 1);
  harness->dir = g_dir_make_tmp ("jacinthward-XXXXXX", NULL);
  harness->procs = g_ptr_array_new_with_free_func (process_free);
  return harness;
}

static void
remove_dir (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  const char *name;
  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *file = g_build_filename (path, name, NULL);
      g_remove (file);
      g_free (file);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (path);
}

/* Kills and reaps all processes of the run and removes its folder, unless
   harness_explain was called or JW_KEEP is set in the environment.  */
void
harness_free (struct harness *harness)
{
  g_ptr_array_unref (harness->procs);
  if (!harness->keep_dir && g_getenv ("JW_KEEP") == NULL)
    remove_dir (harness->dir);
  else
    g_printerr ("kept: %s\n", harness->dir);
  g_free (harness->dir);
  g_free (harness);
}

/* Prints how a process ended, or its state and memory as reported by the
   kernel.  */
static void
print_process_state (const struct harness_process *proc)
{
  char *path = g_strdup_printf ("/proc/%d/status", harness_pid (proc));
  char *text = NULL;
  if (harness_pid (proc) == 0)
    g_printerr ("%s: ended, %s %d\n", proc->name,
                g_subprocess_get_if_signaled (proc->subprocess) ? "signal"
                                                                : "status",
                g_subprocess_get_if_signaled (proc->subprocess)
                    ? g_subprocess_get_term_sig (proc->subprocess)
                    : g_subprocess_get_exit_status (proc->subprocess));
  else if (g_file_get_contents (path, &text, NULL, NULL))
    {
      char **lines = g_strsplit (text, "\n", -1);
      for (guint i = 0; lines[i] != NULL; i++)
        if (g_str_has_prefix (lines[i], "State:")
            || g_str_has_prefix (lines[i], "VmRSS:")
            || strstr (lines[i], "ctxt_switches") != NULL)
          g_printerr ("%s: %s\n", proc->name, lines[i]);
      g_strfreev (lines);
    }
  g_free (text);
  g_free (path);
}

/* Prints the beginning of what the process has written to standard error.  */
static void
print_errors (const struct harness_process *proc)
{
  char *text = NULL;
  gsize n = 0;
  if (g_file_get_contents (proc->errors_path, &text, &n, NULL) && n > 0)
    g_printerr ("%s: %.*s\n", proc->name, (int)MIN (n, ERRORS_PRINTED), text);
  g_free (text);
}

/* To be called after a failed check: prints the errors of each process, and its
   state twice, a second apart so that a busy loop shows in the context
   switches, and keeps the folder of the run.  */
void
harness_explain (struct harness *harness)
{
  harness->keep_dir = TRUE;
  for (guint i = 0; i < harness->procs->len; i++)
    print_errors (harness->procs->pdata[i]);
  for (guint round = 0; round < 2; round++)
    {
      while (g_main_context_iteration (NULL, FALSE))
        ;
      for (guint i = 0; i < harness->procs->len; i++)
        print_process_state (g_ptr_array_index (harness->procs, i));
      g_usleep (round == 0 ? G_USEC_PER_SEC : 0);
    }
}

/* Returns the run's temporary folder, which is removed with its files at the
   end of the run.  */
const char *
harness_dir (const struct harness *harness)
{
  return harness->dir;
}

/* Runs in the child: has the kernel kill it when the test ends, even if the
   test crashes. In a session of its own it gets no SIGHUP when it is stopped
   and the shell that has started the test ends.  */
static void
prepare_child (gpointer ctx)
{
  (void)ctx;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  setsid ();
}

/* Returns the path of the file for an output of process NAME, freed by g_free:
   NAME.SUFFIX, or NAME.N.SUFFIX for its Nth restart.  */
static char *
output_file (struct harness *harness, const char *name, const char *suffix)
{
  guint earlier_starts = 0;
  for (guint i = 0; i < harness->procs->len; i++)
    {
      const struct harness_process *proc = harness->procs->pdata[i];
      earlier_starts += strcmp (proc->name, name) == 0;
    }
  return earlier_starts == 0
             ? g_strdup_printf ("%s/%s.%s", harness->dir, name, suffix)
             : g_strdup_printf ("%s/%s.%u.%s", harness->dir, name,
                                earlier_starts, suffix);
}

/* Starts a process. ARGV ends with NULL; its first element is a path below the
   build folder. Standard output and standard error go to the files NAME.out and
   NAME.err in the folder of the run, which also owns the result. Returns NULL
   if the process cannot be started.  */
struct harness_process *
harness_start (struct harness *harness, const char *name,
               const char *const *argv)
{
  GSubprocessLauncher *launcher
      = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  char *output_path = output_file (harness, name, "out");
  char *errors_path = output_file (harness, name, "err");
  GError *error = NULL;
  g_subprocess_launcher_set_stdout_file_path (launcher, output_path);
  g_subprocess_launcher_set_stderr_file_path (launcher, errors_path);
  g_subprocess_launcher_set_child_setup (launcher, prepare_child, NULL, NULL);
  char **args = g_strdupv ((char **)argv);
  g_free (args[0]);
  args[0] = g_build_filename (JW_BUILD_DIR, argv[0], NULL);
  GSubprocess *subprocess = g_subprocess_launcher_spawnv (
      launcher, (const char *const *)args, &error);
  g_strfreev (args);
  g_object_unref (launcher);
  if (subprocess == NULL)
    {
      g_printerr ("%s: %s\n", argv[0], error->message);
      g_error_free (error);
      g_free (errors_path);
      g_free (output_path);
      return NULL;
    }
  struct harness_process *proc = g_new0 (struct harness_process, 1);
  proc->name = g_strdup (name);
  proc->subprocess = subprocess;
  proc->output_path = output_path;
  proc->errors_path = errors_path;
  g_ptr_array_add (harness->procs, proc);
  return proc;
}

static int
port_in (const char *line, const char *key)
{
  const char *at = strstr (line, key);
  return at == NULL ? 0 : (int)g_ascii_strtoll (at + strlen (key), NULL, 10);
}

struct ready_line
{
  struct harness_process *proc;
  char *line; /* owned; NULL until it has been printed */
  gboolean ended;
};

/* Condition: the complete line "ready ..." was printed, among log lines
   perhaps, or the process has ended.  */
static gboolean
find_ready_line (void *ctx)
{
  struct ready_line *ready = ctx;
  char *text = NULL;
  while (g_main_context_iteration (NULL, FALSE))
    ;
  ready->ended = g_subprocess_get_identifier (ready->proc->subprocess) == NULL;
  if (!g_file_get_contents (ready->proc->output_path, &text, NULL, NULL))
    return ready->ended;
  char **lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL && lines[i + 1] != NULL; i++)
    if (ready->line == NULL && g_str_has_prefix (lines[i], "ready "))
      ready->line = g_strdup (lines[i]);
  g_strfreev (lines);
  g_free (text);
  return ready->line != NULL || ready->ended;
}

/* Waits for the line "ready ..." and reads the ports from it. Returns FALSE if
   the process ends or the time is over without one.  */
gboolean
harness_wait_ready (struct harness_process *proc)
{
  struct ready_line ready = { .proc = proc };
  harness_wait_until (find_ready_line, &ready, HARNESS_TIMEOUT_MS);
  if (ready.line == NULL)
    {
      g_printerr ("%s: not ready%s\n", proc->name,
                  ready.ended ? ": ended" : "");
      return FALSE;
    }
  proc->port = port_in (ready.line, "ready ");
  proc->peer_port = port_in (ready.line, "peer=");
  proc->http_port = port_in (ready.line, "http=");
  proc->admin_port = port_in (ready.line, "admin=");
  g_free (ready.line);
  return TRUE;
}

void
harness_signal (struct harness_process *proc, int signal)
{
  g_subprocess_send_signal (proc->subprocess, signal);
}

int
harness_pid (const struct harness_process *proc)
{
  const char *id = g_subprocess_get_identifier (proc->subprocess);
  return id == NULL ? 0 : (int)g_ascii_strtoll (id, NULL, 10);
}

static gboolean
has_ended (void *ctx)
{
  struct harness_process *proc = ctx;
  while (g_main_context_iteration (NULL, FALSE))
    ;
  return g_subprocess_get_identifier (proc->subprocess) == NULL;
}

/* Waits until the process has ended and reaps it. Returns its exit status, 128
   + the number of the signal that killed it, or -1 if it still runs after
   TIMEOUT_MS.  */
int
harness_reap (struct harness_process *proc, gint64 timeout_ms)
{
  if (!harness_wait_until (has_ended, proc, timeout_ms))
    return -1;
  if (g_subprocess_get_if_signaled (proc->subprocess))
    return 128 + g_subprocess_get_term_sig (proc->subprocess);
  return g_subprocess_get_exit_status (proc->subprocess);
}

static SoupMessage *
make_message (const struct harness_request *request)
{
  const char *method = request->method;
  if (method == NULL)
    method = request->body != NULL ? "POST" : "GET";
  char *uri
      = g_strdup_printf ("http://127.0.0.1:%d%s", request->port, request->path);
  SoupMessage *message = soup_message_new (method, uri);
  g_free (uri);
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT
                                       | SOUP_MESSAGE_NEW_CONNECTION);
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  for (const char *const *h = request->headers; h != NULL && h[0] != NULL;
       h += 2)
    soup_message_headers_append (headers, h[0], h[1]);
  if (request->body != NULL)
    {
      GBytes *body = g_bytes_new (request->body, strlen (request->body));
      soup_message_set_request_body_from_bytes (message, "application/json",
                                                body);
      g_bytes_unref (body);
    }
  return message;
}

/* Sends REQUEST and waits for the headers of the response. STATUS becomes its
   status code, 0 if there is no response. The result is freed by
   harness_close_stream.  */
struct harness_stream *
harness_open_stream (const struct harness_request *request, guint *status)
{
  struct harness_stream *stream = g_new0 (struct harness_stream, 1);
  gint64 ms
      = request->timeout_ms > 0 ? request->timeout_ms : HARNESS_TIMEOUT_MS;
  guint timeout_s = (guint)((ms + 999) / 1000);
  stream->session = soup_session_new_with_options (
      "timeout", timeout_s, "proxy-resolver", NULL, NULL);
  stream->message = make_message (request);
  GError *error = NULL;
  GInputStream *input
      = soup_session_send (stream->session, stream->message, NULL, &error);
  *status = input == NULL ? 0 : soup_message_get_status (stream->message);
  stream->refused
      = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  g_clear_error (&error);
  if (input != NULL)
    {
      stream->input = g_data_input_stream_new (input);
      g_object_unref (input);
    }
  return stream;
}

static char *
read_line (struct harness_stream *stream, gboolean *truncated)
{
  GError *error = NULL;
  if (stream->input == NULL)
    return NULL;
  char *line
      = g_data_input_stream_read_line (stream->input, NULL, NULL, &error);
  *truncated = error != NULL;
  g_clear_error (&error);
  return line;
}

/* Returns the data of the next event, freed by g_free, or NULL at the end of
   the response, also if it is truncated.  */
char *
harness_next_event (struct harness_stream *stream)
{
  gboolean truncated;
  for (;;)
    {
      char *line = read_line (stream, &truncated);
      if (line == NULL)
        return NULL;
      char *data = g_str_has_prefix (line, EVENT_PREFIX)
                       ? g_strdup (line + strlen (EVENT_PREFIX))
                       : NULL;
      g_free (line);
      if (data != NULL)
        return data;
    }
}

/* Closes the connection, also before the end of the response.  */
void
harness_close_stream (struct harness_stream *stream)
{
  if (stream->input != NULL)
    g_object_unref (stream->input);
  soup_session_abort (stream->session);
  g_object_unref (stream->message);
  g_object_unref (stream->session);
  g_free (stream);
}

/* libsoup treats a chunked body that is cut off between chunks as complete, so
   a stream is only complete with its last event.  */
static gboolean
is_complete (const struct harness_response *response)
{
  const char *type = g_hash_table_lookup (response->headers, "content-type");
  if (type == NULL || !g_str_has_prefix (type, "text/event-stream"))
    return TRUE;
  return strstr (response->body->str, EVENT_DONE) != NULL;
}

static void
copy_header (const char *name, const char *value, gpointer headers)
{
  g_hash_table_insert (headers, g_ascii_strdown (name, -1), g_strdup (value));
}

/* Sends REQUEST and reads the complete response, recording the time of each
   line. The result is freed by harness_response_free.  */
struct harness_response *
harness_request (const struct harness_request *request)
{
  struct harness_response *response = g_new0 (struct harness_response, 1);
  response->headers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  response->body = g_string_new (NULL);
  response->times = g_array_new (FALSE, FALSE, sizeof (gint64));
  struct harness_stream *stream
      = harness_open_stream (request, &response->status);
  gboolean truncated = FALSE;
  char *line;
  soup_message_headers_foreach (
      soup_message_get_response_headers (stream->message), copy_header,
      response->headers);
  while ((line = read_line (stream, &truncated)) != NULL)
    {
      gint64 now = g_get_monotonic_time ();
      g_array_append_val (response->times, now);
      if (response->body->len > 0 || response->times->len > 1)
        g_string_append_c (response->body, '\n');
      g_string_append (response->body, line);
      g_free (line);
    }
  response->complete
      = response->status != 0 && !truncated && is_complete (response);
  response->refused = stream->refused;
  harness_close_stream (stream);
  return response;
}

void
harness_response_free (struct harness_response *response)
{
  g_hash_table_unref (response->headers);
  g_string_free (response->body, TRUE);
  g_array_unref (response->times);
  g_free (response);
}

/* Returns the body as JSON, freed by json_node_unref, or NULL if it is not
   JSON.  */
JsonNode *
harness_response_json (const struct harness_response *response)
{
  return json_from_string (response->body->str, NULL);
}

/* Returns the integer MEMBER of the JSON object at PATH, or -1 if there is
   none.  */
gint64
harness_get_int (int port, const char *path, const char *member)
{
  struct harness_request request = { .port = port, .path = path };
  struct harness_response *response = harness_request (&request);
  JsonNode *node = harness_response_json (response);
  gint64 value = -1;
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    value = json_object_get_int_member_with_default (
        json_node_get_object (node), member, -1);
  g_clear_pointer (&node, json_node_unref);
  harness_response_free (response);
  return value;
}

/* Sets the faults that the stand-in at PORT injects. Returns whether it
   accepted them.  */
gboolean
harness_set_faults (int port, const char *json)
{
  struct harness_request request
      = { .port = port, .path = "/fault", .body = json };
  struct harness_response *response = harness_request (&request);
  gboolean ok = response->status == SOUP_STATUS_OK;
  harness_response_free (response);
  return ok;
}

static void
append_choice (GString *text, JsonObject *choice)
{
  static const char *const members[] = { "delta", "message" };
  const char *piece
      = json_object_get_string_member_with_default (choice, "text", "");
  for (guint i = 0; i < G_N_ELEMENTS (members); i++)
    if (json_object_has_member (choice, members[i]))
      piece = json_object_get_string_member_with_default (
          json_object_get_object_member (choice, members[i]), "content", "");
  g_string_append (text, piece);
}

static void
append_completion (GString *text, const char *json)
{
  JsonNode *node = json_from_string (json, NULL);
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node)
      && json_object_has_member (json_node_get_object (node), "choices"))
    append_choice (text, json_array_get_object_element (
                             json_object_get_array_member (
                                 json_node_get_object (node), "choices"),
                             0));
  g_clear_pointer (&node, json_node_unref);
}

/* Returns the generated text in BODY, a completion with or without streaming;
   freed by g_free.  */
char *
harness_completion_text (const char *body)
{
  GString *text = g_string_new (NULL);
  char **lines = g_strsplit (body, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if (g_str_has_prefix (*line, EVENT_PREFIX))
      append_completion (text, *line + strlen (EVENT_PREFIX));
  if (!g_str_has_prefix (body, EVENT_PREFIX))
    append_completion (text, body);
  g_strfreev (lines);
  return g_string_free (text, FALSE);
}

/* Returns the text that the stand-in engine generates for PROMPT, freed by
   g_free. MAX_TOKENS 0: no limit.  */
char *
harness_expected_text (const char *prompt, guint max_tokens)
{
  struct str s = str_of (prompt);
  guint64 hash = faketext_hash (s);
  guint total = faketext_length (s, hash);
  GString *text = g_string_new (NULL);
  faketext_append (text, hash, 0,
                   max_tokens > 0 ? MIN (max_tokens, total) : total);
  return g_string_free (text, FALSE);
}

/* Polls CONDITION until it holds. Returns FALSE if it does not within
   TIMEOUT_MS.  */
gboolean
harness_wait_until (harness_condition condition, void *ctx, gint64 timeout_ms)
{
  gint64 end = g_get_monotonic_time () + timeout_ms * 1000;
  while (!condition (ctx))
    {
      if (g_get_monotonic_time () >= end)
        return FALSE;
      g_usleep (POLL_MS * 1000);
    }
  return TRUE;
}

/* Reserves PORT among the processes that use this function until the calling
   process ends. An abstract Unix socket has no file that could be left behind,
   and the kernel frees its name even after a crash.  */
static gboolean
reserve_port (int port)
{
  char name[32];
  GError *error = NULL;
  g_snprintf (name, sizeof name, "jacinthward-test-port-%d", port);
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_DATAGRAM,
                                  G_SOCKET_PROTOCOL_DEFAULT, &error);
  if (socket == NULL)
    {
      g_printerr ("port %d: %s\n", port, error->message);
      g_error_free (error);
      return FALSE;
    }
  GSocketAddress *address = g_unix_socket_address_new_with_type (
      name, -1, G_UNIX_SOCKET_ADDRESS_ABSTRACT);
  gboolean reserved = g_socket_bind (socket, address, FALSE, NULL);
  g_object_unref (address);
  if (!reserved)
    g_object_unref (socket);
  return reserved;
}

/* Returns whether PORT can be listened on at all addresses.  */
static gboolean
is_port_free (int port)
{
  GInetAddress *any = g_inet_address_new_any (G_SOCKET_FAMILY_IPV4);
  GSocketAddress *address = g_inet_socket_address_new (any, (guint16)port);
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  gboolean is_free = socket != NULL
                     && g_socket_bind (socket, address, TRUE, NULL)
                     && g_socket_listen (socket, NULL);
  g_clear_object (&socket);
  g_object_unref (address);
  g_object_unref (any);
  return is_free;
}

/* Returns a TCP port that is free and that no other call returns as long as the
   calling process runs, in this process or another one; 0 if there is none.
   The kernel does not pick it for another socket: it is below the range of
   ephemeral ports.  */
int
harness_free_port (void)
{
  int first = g_random_int_range (PORT_MIN, PORT_MAX + 1);
  int port = first;
  do
    {
      if (reserve_port (port) && is_port_free (port))
        return port;
      port = port == PORT_MAX ? PORT_MIN : port + 1;
    }
  while (port != first);
  return 0;
}

/* Copies the file TEMPLATE_PATH to NAME in the folder of the run and replaces
   each "@KEY@"; VALUES is key, value, ..., NULL. Returns the new path, freed by
   g_free, or NULL on error.  */
char *
harness_fill_template (struct harness *harness, const char *template_path,
                       const char *name, const char *const *values)
{
  char *contents;
  if (!g_file_get_contents (template_path, &contents, NULL, NULL))
    return NULL;
  GString *text = g_string_new (contents);
  g_free (contents);
  for (const char *const *v = values; v[0] != NULL; v += 2)
    {
      char *key = g_strdup_printf ("@%s@", v[0]);
      g_string_replace (text, key, v[1], 0);
      g_free (key);
    }
  char *path = g_build_filename (harness->dir, name, NULL);
  if (!g_file_set_contents (path, text->str, (gssize)text->len, NULL))
    g_clear_pointer (&path, g_free);
  g_string_free (text, TRUE);
  return path;
}
