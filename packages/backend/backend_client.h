/* HTTP client for backend servers, on top of libsoup. A call is one attempt: it
   is never retried, redirected or authenticated here.  */
#ifndef BACKEND_CLIENT_H
#define BACKEND_CLIENT_H

#include <libsoup/soup.h>

#include "base/counter.h"
#include "base/err.h"
#include "config/cluster_config.h"
#include "msg/msg.h"

struct backend_client;
struct backend_call;

struct backend_client *backend_client_new (void);
void backend_client_free (struct backend_client *client);

struct backend_call_options
{
  const struct cluster_backend *backend; /* copied as far as needed */
  const char *method;
  const char *path;            /* with the query string */
  SoupMessageHeaders *headers; /* copied */
  GBytes *body;                /* a reference is taken; may be NULL */
  const char *content_type;    /* of the body */
  gint64 timeout_us;           /* for the complete call */
  gint64 stall_us;             /* longest time without data from the server */
  /* The head, and the first bytes of the body, are not sent later; 0: no
     limit. */
  gint64 send_within_us;
  /* Callbacks are called from the main loop, never before backend_call_open
     returns. Data is called only after head; end is called once, as the last
     one. */
  void (*head) (void *ctx, guint status, SoupMessageHeaders *headers);
  void (*data) (void *ctx, struct str data);
  /* RESULT is OK, UNUSED (send_within_us is over), NOT_SENT, BROKEN or
     TIMED_OUT. SENT: part of the request may have been sent. */
  void (*end) (void *ctx, enum msg_result result, gboolean sent,
               const struct err *err);
  void *ctx;
};

struct backend_call *
backend_call_open (struct backend_client *client,
                   const struct backend_call_options *options);
void backend_call_cancel (struct backend_call *call);
void backend_call_pause (struct backend_call *call, gboolean paused);

#endif
