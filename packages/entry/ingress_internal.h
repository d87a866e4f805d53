/* Declarations that the files of this package share.  */
#ifndef INGRESS_INTERNAL_H
#define INGRESS_INTERNAL_H

#include <json-glib/json-glib.h>

#include "entry/ingress.h"
#include "entry/sse.h"

#define INGRESS_RESPONSE_MAX (8 * 1024 * 1024) /* bytes, if buffered */
/* Flow control: with more unsent bytes than HIGH, reading from the backend
   server pauses; with fewer than LOW it goes on. */
#define INGRESS_UNSENT_HIGH (256 * 1024)
#define INGRESS_UNSENT_LOW (64 * 1024)
/* Bytes of generated text; a longer stream cannot be resumed. */
#define INGRESS_RESUME_MAX (64 * 1024)
/* Member of a request's body that names the position to engines. */
#define INGRESS_RESUME_MEMBER "jacinthward_resume"
/* Header in which an engine names the position after which it continues. */
#define INGRESS_RESUMED_HEADER "Jacinthward-Resumed"
#define INGRESS_PREFIX_BYTES 512  /* of the prompt that are hashed */
#define INGRESS_BYTES_PER_TOKEN 4 /* for estimates */

/* A client's request in progress. */
struct ingress_request
{
  struct ingress *ingress;    /* borrowed */
  guint64 id;                 /* of the request in the core */
  char request_id[96];        /* in logs and headers */
  SoupServerMessage *message; /* a reference */
  GSocket *socket;            /* of the connection, a reference */
  GSource *disconnect_watch;  /* or NULL */
  char *method;
  char *path;         /* at the backend server, with the query */
  char *content_type; /* of the request body; or NULL */
  GBytes *body;
  gboolean to_engine; /* a completion; otherwise for a plain service */
  gboolean streamed;  /* the client wants server-sent events */
  gboolean keyed;     /* its idempotency key is handled by the ledger */
  gboolean repeatable;
  char *idempotency_key; /* or NULL */

  struct backend_call *attempt; /* in progress; or NULL */
  guint32 attempt_number;
  struct str_id server;      /* of the current attempt */
  gboolean resumed;          /* it was given a position */
  gboolean buffered;         /* its response is not relayed event by event */
  guint status;              /* of its response; 0: no headers yet */
  char *response_type;       /* its content type; or NULL */
  GByteArray *response_body; /* buffered: received so far */
  guint32 response_tokens;   /* buffered: generated, by its own account */
  struct sse sse;            /* streamed */
  gboolean done_received;    /* the stream's "[DONE]" */
  gboolean stream_started;   /* streamed: headers were sent to the client */
  gboolean detached;  /* the client has disconnected; the request goes on so
                         that its response is recorded */
  gboolean finished;  /* the response to the client is complete */
  GString *sent_text; /* streamed: generated text that was sent */
  /* Streamed: why no other engine may continue the stream after SENT_TEXT,
     static; or NULL. */
  const char *not_resumable;
  guint32 role_attempt; /* streamed: whose role was sent; 0: none was */
  guint32 sent_tokens;  /* streamed: in SENT_TEXT */
  gsize unsent_bytes;   /* not yet written to the client */
  gint64 last_write;    /* to the client, or when bytes became unsent;
                           monotonic microseconds */
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
  guint timer;             /* GLib source that checks for time-outs */
  gint64 last_check;       /* of TIMER, monotonic microseconds */
  gboolean stopped;        /* the listener is closed */
};

/* Why a request is rejected before the core gets it. */
struct ingress_rejection
{
  guint status;
  const char *code; /* static */
  char text[160];
};

/* ingress.c */

void ingress_close_if_stopped (const struct ingress *ingress,
                               SoupServerMessage *message);

/* parse_request.c */

int ingress_parse_request (struct ingress_request *request,
                           struct core_request_spec *spec,
                           struct ingress_rejection *rejection);

/* engine_response.c */

gboolean ingress_record_event (struct ingress_request *request, struct str data,
                               guint32 *tokens);
gboolean ingress_read_completion (struct str body, guint32 *tokens);
GBytes *ingress_resume_body (const struct ingress_request *request);

/* ingress_request.c */

void ingress_request_start (struct ingress *ingress,
                            SoupServerMessage *message);
void ingress_request_free (void *data);
void ingress_request_open (struct ingress_request *request,
                           const struct core_action *action);
void ingress_request_cancel (struct ingress_request *request, guint32 attempt);
void ingress_request_fail (struct ingress_request *request,
                           const struct core_action *action);
void ingress_request_replay (struct ingress_request *request,
                             const struct core_action *action);
void ingress_request_finish (struct ingress_request *request);
void ingress_request_check_stall (struct ingress_request *request, gint64 now);
void ingress_request_extend (struct ingress_request *request, gint64 us);

/* error_response.c */
struct ingress_error
{
  guint status;
  const char *code;
  const char *text;
  const char *ran;       /* whether the request ran: "no", "yes", "unknown" */
  gint64 retry_after_us; /* 0: none */
  const char *step;      /* at which it failed */
  const char *peer;      /* where it failed */
};

void ingress_set_error (SoupServerMessage *message, const char *request_id,
                        const struct ingress_error *error);
GBytes *ingress_error_event (const char *request_id,
                             const struct ingress_error *error);

#endif
