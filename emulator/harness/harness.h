/* Tests with real processes on loopback: start, signal and reap them, call
   them by HTTP, wait for what they do. All of it blocks.  */
#ifndef HARNESS_H
#define HARNESS_H

#include <gio/gio.h>
#include <glib.h>
#include <json-glib/json-glib.h>

#define HARNESS_TIMEOUT_MS                                                     \
  20000 /* of a step that a healthy machine does fast */

struct harness; /* a run: its processes and its temporary folder */

struct harness_process
{
  char *name;
  GSubprocess *subprocess;
  char *output_path; /* file of its standard output */
  int port;          /* of "ready PORT" */
  int peer_port;     /* of "ready peer=PORT http=PORT admin=PORT" */
  int http_port;
  int admin_port;
};

struct harness_request
{
  const char *method;         /* NULL: POST with a body, else GET */
  int port;                   /* on 127.0.0.1 */
  const char *path;           /* with its query */
  const char *const *headers; /* name, value, ..., NULL; NULL: none */
  const char *body;           /* NULL: none */
  gint64 timeout_ms;          /* 0: HARNESS_TIMEOUT_MS */
};

struct harness_response
{
  guint status;        /* 0: no answer */
  gboolean refused;    /* the connection was; surely nothing was sent */
  gboolean complete;   /* all of the body came; of a stream: to its [DONE] */
  GHashTable *headers; /* name in lower case: value */
  GString *body;       /* as far as it came */
  GArray *times;       /* gint64, monotonic microseconds, one for each line */
};

struct harness_stream; /* an answer that is read event by event */

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
