/* Tests with real processes on loopback: start, signal and reap them, call
   them by HTTP, wait for what they do. All of it blocks.  */
#ifndef HAR_H
#define HAR_H

#include <gio/gio.h>
#include <glib.h>
#include <json-glib/json-glib.h>

#define HAR_DEADLINE_MS 20000 /* of a step that a healthy machine does fast */

struct har; /* a run: its processes and its temporary folder */

struct har_proc
{
  char *name;
  GSubprocess *process;
  char *out;     /* file of its standard output */
  int port;      /* of "ready PORT" */
  int peer_port; /* of "ready peer=PORT http=PORT admin=PORT" */
  int http_port;
  int admin_port;
};

struct har_call
{
  const char *method;         /* NULL: POST with a body, else GET */
  int port;                   /* on 127.0.0.1 */
  const char *path;           /* with its query */
  const char *const *headers; /* name, value, ..., NULL; NULL: none */
  const char *body;           /* NULL: none */
  gint64 timeout_ms;          /* 0: HAR_DEADLINE_MS */
};

struct har_reply
{
  guint status;        /* 0: no answer */
  gboolean refused;    /* the connection was; surely nothing was sent */
  gboolean complete;   /* all of the body came; of a stream: to its [DONE] */
  GHashTable *headers; /* name in lower case: value */
  GString *body;       /* as far as it came */
  GArray *times;       /* gint64, monotonic microseconds, one for each line */
};

struct har_stream; /* an answer that is read event by event */

struct har *har_new (void);
void har_free (struct har *har);
const char *har_dir (const struct har *har);
void har_explain (struct har *har);

struct har_proc *har_start (struct har *har, const char *name,
                            const char *const *argv);
gboolean har_wait_ready (struct har_proc *proc);
void har_signal (struct har_proc *proc, int signal);
int har_reap (struct har_proc *proc, gint64 timeout_ms);
int har_pid (const struct har_proc *proc);

struct har_reply *har_call (const struct har_call *call);
void har_reply_free (struct har_reply *reply);
JsonNode *har_reply_json (const struct har_reply *reply);
gint64 har_get_int (int port, const char *path, const char *member);
gboolean har_fault (int port, const char *json);

struct har_stream *har_open (const struct har_call *call, guint *status);
char *har_next (struct har_stream *stream);
void har_close (struct har_stream *stream);

char *har_answer_text (const char *body);
char *har_expected_text (const char *prompt, guint max_tokens);

typedef gboolean (*har_condition) (void *ctx);
gboolean har_wait_until (har_condition condition, void *ctx, gint64 timeout_ms);
int har_free_port (void);
char *har_template (struct har *har, const char *template_path,
                    const char *name, const char *const *values);

#endif
