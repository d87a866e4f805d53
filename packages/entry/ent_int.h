/* What the files of this package share; not for others.  */
#ifndef ENT_INT_H
#define ENT_INT_H

#include <json-glib/json-glib.h>

#include "entry/ent.h"
#include "entry/sse.h"

#define ENT_ANSWER_MAX (8 * 1024 * 1024) /* bytes of a buffered answer */
#define ENT_UNSENT_HIGH (256 * 1024)     /* reading the server stops */
#define ENT_UNSENT_LOW (64 * 1024)       /* and goes on */
#define ENT_RESUME_MAX (64 * 1024)       /* bytes of text to resume from */
#define ENT_PREFIX_BYTES 512             /* of the prompt that are hashed */
#define ENT_BYTES_PER_TOKEN 4            /* for estimates */

/* A caller's request in progress. */
struct ent_call
{
  struct ent *ent;            /* borrowed */
  guint64 id;                 /* of the node's request */
  char request_id[96];        /* in logs and headers */
  SoupServerMessage *message; /* a reference */
  GSocket *socket;            /* of the connection, a reference */
  GSource *hangup;            /* watches for the caller's hang-up; or NULL */
  char *method;
  char *path;         /* at the backend server, with the query */
  char *content_type; /* of the request's body; or NULL */
  GBytes *body;
  gboolean engine;
  gboolean streamed;
  gboolean keyed;
  gboolean repeatable;
  char *idempotency_key; /* or NULL */

  struct backend_call *attempt; /* NULL: none */
  guint32 attempt_number;
  struct str_id server; /* of the running attempt */
  gboolean plain;       /* its answer is not relayed as a stream */
  guint status;         /* of the running attempt's head */
  char *answer_type;    /* its content type; or NULL */
  GByteArray *answer;   /* not streamed: what has arrived */
  struct sse sse;       /* streamed */
  gboolean done_seen;   /* the stream's end mark has arrived */
  gboolean relaying;    /* the answer's head went to the caller */
  gboolean orphan;      /* the caller is gone, the answer is recorded */
  gboolean finished;    /* the answer is complete */
  GString *text;        /* streamed: the text that the caller has */
  guint32 tokens;       /* that the caller has */
  gsize unsent;         /* bytes that wait for the caller */
  gint64 wrote_at;      /* last progress of the caller, microseconds */
};

struct ent
{
  struct ent_options options;
  char *listen;
  SoupServer *server;
  GSocket *listener;
  guint port;
  gint64 started; /* wall clock, microseconds; part of request ids */
  guint64 next_id;
  GHashTable *calls; /* id -> struct ent_call * */
  GHashTable *conns; /* GSocket * -> struct ent_conn * */
  guint sweep;       /* GLib source */
  gint64 swept_at;   /* monotonic, microseconds */
};

/* ent_parse.c: from HTTP to the node's terms */
struct ent_refusal
{
  guint status;
  const char *code; /* static */
  char text[160];
};

int ent_parse (struct ent_call *call, struct core_request_spec *request,
               struct ent_refusal *refusal);

/* ent_call.c */
void ent_call_start (struct ent *ent, SoupServerMessage *message);
void ent_call_free (void *data);

/* ent_text.c */
guint32 ent_note_event (struct ent_call *call, struct str data);
guint32 ent_completion_tokens (struct str answer);
GBytes *ent_resume_body (const struct ent_call *call);

void ent_call_open (struct ent_call *call, const struct core_action *action);
void ent_call_cancel (struct ent_call *call, guint32 attempt);
void ent_call_fail (struct ent_call *call, const struct core_action *action);
void ent_call_replay (struct ent_call *call, const struct core_action *action);
void ent_call_finish (struct ent_call *call);
/* Ends the call if its caller has stopped reading. */
void ent_call_sweep (struct ent_call *call, gint64 now);
void ent_call_excuse (struct ent_call *call, gint64 us);

/* ent_reply.c: what goes to the caller */
struct ent_error
{
  guint status;
  const char *code;
  const char *text;
  const char *ran;
  gint64 retry_after_us;
  const char *step;
  const char *peer;
};

void ent_reply_error (SoupServerMessage *message, const char *request_id,
                      const struct ent_error *error);
GBytes *ent_error_event (const char *request_id, const struct ent_error *error);

#endif
