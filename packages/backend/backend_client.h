/* Calls to backend servers over HTTP by libsoup. A call is one attempt: it is
   never repeated, redirected or authenticated here.  */
#ifndef BACKEND_CLIENT_H
#define BACKEND_CLIENT_H

#include <libsoup/soup.h>

#include "base/counter.h"
#include "base/err.h"
#include "config/cfg.h"
#include "msg/msg.h"

struct backend_client;
struct backend_call;

struct backend_client *backend_client_new (void);
/* Cancels what is open; no callback is called any more. */
void backend_client_free (struct backend_client *client);

struct backend_call_options
{
  const struct cfg_backend *backend; /* copied as far as needed */
  const char *method;
  const char *path;            /* with the query */
  SoupMessageHeaders *headers; /* copied */
  GBytes *body;                /* a reference is taken; may be NULL */
  const char *content_type;    /* of the body */
  gboolean new_connection;     /* on a new connection */
  gint64 timeout_us;           /* for the whole call */
  gint64 stall_us;             /* longest silence of the server */
  /* Callbacks come from the loop, never before backend_call_open returns. Data
     comes only after the head; the end comes once, nothing after it. */
  void (*head) (void *ctx, guint status, SoupMessageHeaders *headers);
  void (*data) (void *ctx, struct str data);
  /* RESULT is OK, NOT_SENT, BROKEN or TIMED_OUT; SENT: some byte may have
     left. */
  void (*end) (void *ctx, enum msg_result result, gboolean sent,
               const struct err *err);
  void *ctx;
};

struct backend_call *
backend_call_open (struct backend_client *client,
                   const struct backend_call_options *options);
/* Closes the connection, which cancels the server's work. CALL is gone
   afterwards; it is gone after the end callback, too. */
void backend_call_cancel (struct backend_call *call);
/* Stops or goes on reading the answer. */
void backend_call_pause (struct backend_call *call, gboolean paused);

#endif
