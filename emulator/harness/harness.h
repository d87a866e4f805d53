/* Test harness for real processes on loopback: starts, signals and reaps them,
   sends them HTTP requests and waits for conditions. All functions block.  */
#ifndef HARNESS_H
#define HARNESS_H

#include <gio/gio.h>
#include <glib.h>
#include <json-glib/json-glib.h>

#define HARNESS_TIMEOUT_MS 20000 /* normally a step takes much less */

struct harness; /* a test run: its processes and its temporary folder */

struct harness_process
{
  char *name;
  GSubprocess *subprocess;
  char *output_path; /* file with its standard output */
  char *errors_path; /* file with its standard error */
  int port;          /* from the line "ready PORT" (stand-ins) */
  int peer_port;     /* from the line "ready peer=PORT http=PORT admin=PORT"
                        (instances) */
  int http_port;
  int admin_port;
};

struct harness_request
{
  const char *method;         /* NULL: POST if there is a body, else GET */
  int port;                   /* on 127.0.0.1 */
  const char *path;           /* with the query */
  const char *const *headers; /* name, value, ..., NULL; NULL: none */
  const char *body;           /* NULL: none */
  gint64 timeout_ms;          /* 0: HARNESS_TIMEOUT_MS */
};

struct harness_response
{
  guint status;        /* 0: no response */
  gboolean refused;    /* the connection was refused, so nothing was sent */
  gboolean complete;   /* body; a stream is complete with its "[DONE]" */
  GHashTable *headers; /* name in lower case -> value */
  GString *body;       /* as far as it arrived; the last line end is missing */
  GArray *times; /* gint64, arrival of each line, monotonic microseconds */
};

struct harness_stream; /* a response that is read event by event */

struct harness *harness_new (void);
void harness_free (struct harness *harness);
const char *harness_dir (const struct harness *harness);
void harness_explain (struct harness *harness);

struct harness_process *harness_start (struct harness *harness,
                                       const char *name,
                                       const char *const *argv);
gboolean harness_wait_ready (struct harness_process *proc);
void harness_signal (struct harness_process *proc, int signal);
int harness_reap (struct harness_process *proc, gint64 timeout_ms);
int harness_pid (const struct harness_process *proc);

struct harness_response *
harness_request (const struct harness_request *request);
void harness_response_free (struct harness_response *response);
JsonNode *harness_response_json (const struct harness_response *response);
gint64 harness_get_int (int port, const char *path, const char *member);
gboolean harness_set_faults (int port, const char *json);

struct harness_stream *
harness_open_stream (const struct harness_request *request, guint *status);
char *harness_next_event (struct harness_stream *stream);
void harness_close_stream (struct harness_stream *stream);

char *harness_completion_text (const char *body);
char *harness_expected_text (const char *prompt, guint max_tokens);

typedef gboolean (*harness_condition) (void *ctx);
gboolean harness_wait_until (harness_condition condition, void *ctx,
                             gint64 timeout_ms);
int harness_free_port (void);
char *harness_fill_template (struct harness *harness, const char *template_path,
                             const char *name, const char *const *values);

#endif
