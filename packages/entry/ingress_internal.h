/* What the files of this package share; not for others.  */
#ifndef INGRESS_INTERNAL_H
#define INGRESS_INTERNAL_H

#include <json-glib/json-glib.h>

#include "entry/ingress.h"
#include "entry/sse.h"

#define INGRESS_RESPONSE_MAX                                                   \
  (8 * 1024 * 1024)                      /* bytes of a buffered answer         \
                                          */
#define INGRESS_UNSENT_HIGH (256 * 1024) /* reading the server stops */
#define INGRESS_UNSENT_LOW (64 * 1024)   /* and goes on */
#define INGRESS_RESUME_MAX (64 * 1024)   /* bytes of text to resume from */
#define INGRESS_PREFIX_BYTES 512         /* of the prompt that are hashed */
#define INGRESS_BYTES_PER_TOKEN 4        /* for estimates */

/* A caller's request in progress. */
struct ingress_request
{
  struct ingress *ingress;    /* borrowed */
  guint64 id;                 /* of the node's request */
  char request_id[96];        /* in logs and headers */
  SoupServerMessage *message; /* a reference */
  GSocket *socket;            /* of the connection, a reference */
  GSource *disconnect_watch;  /* watches for the caller's hang-up; or NULL */
  char *method;
  char *path;         /* at the backend server, with the query */
  char *content_type; /* of the request's body; or NULL */
  GBytes *body;
  gboolean to_engine;
  gboolean streamed;
  gboolean keyed;
  gboolean repeatable;
  char *idempotency_key; /* or NULL */

  struct bkd_call *attempt; /* NULL: none */
  guint32 attempt_number;
  struct str_id server;      /* of the running attempt */
  gboolean buffered;         /* its answer is not relayed as a stream */
  guint status;              /* of the running attempt's head */
  char *response_type;       /* its content type; or NULL */
  GByteArray *response_body; /* not streamed: what has arrived */
  struct sse sse;            /* streamed */
  gboolean done_received;    /* the stream's end mark has arrived */
  gboolean stream_started;   /* the answer's head went to the caller */
  gboolean detached;         /* the caller is gone, the answer is recorded */
  gboolean finished;         /* the answer is complete */
  GString *sent_text;        /* streamed: the text that the caller has */
  guint32 sent_tokens;       /* that the caller has */
  gsize unsent_bytes;        /* bytes that wait for the caller */
  gint64 last_write;         /* last progress of the caller, microseconds */
};

struct ingress
{
  struct ingress_options options;
  char *listen;
  SoupServer *server;
  GSocket *listener;
  guint port;
  gint64 start_time; /* wall clock, microseconds; part of request ids */
  guint64 next_id;
  GHashTable *requests;    /* id -> struct ingress_request * */
  GHashTable *connections; /* GSocket * -> struct ingress_connection * */
  guint timer;             /* GLib source */
  gint64 last_check;       /* monotonic, microseconds */
};

/* ingress_parse_request.c: from HTTP to the node's terms */
struct ingress_rejection
{
  guint status;
  const char *code; /* static */
  char text[160];
};

int ingress_parse_request (struct ingress_request *request,
                           struct core_request_spec *spec,
                           struct ingress_rejection *rejection);

/* ingress_request.c */
void ingress_request_start (struct ingress *ingress,
                            SoupServerMessage *message);
void ingress_request_free (void *data);

/* ent_text.c */
guint32 ingress_record_event (struct ingress_request *request, struct str data);
guint32 ingress_completion_tokens (struct str body);
GBytes *ingress_resume_body (const struct ingress_request *request);

void ingress_request_open (struct ingress_request *request,
                           const struct core_action *action);
void ingress_request_cancel (struct ingress_request *request, guint32 attempt);
void ingress_request_fail (struct ingress_request *request,
                           const struct core_action *action);
void ingress_request_replay (struct ingress_request *request,
                             const struct core_action *action);
void ingress_request_finish (struct ingress_request *request);
/* Ends the call if its caller has stopped reading. */
void ingress_request_check_stall (struct ingress_request *request, gint64 now);
void ingress_request_extend (struct ingress_request *request, gint64 us);

/* ent_reply.c: what goes to the caller */
struct ingress_error
{
  guint status;
  const char *code;
  const char *text;
  const char *ran;
  gint64 retry_after_us;
  const char *step;
  const char *peer;
};

void ingress_set_error (SoupServerMessage *message, const char *request_id,
                        const struct ingress_error *error);
GBytes *ingress_error_event (const char *request_id,
                             const struct ingress_error *error);

#endif
