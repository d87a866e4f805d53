/* Calls to backend servers over HTTP by libsoup. A call is one attempt: it is
   never repeated, redirected or authenticated here.  */
#ifndef BKD_H
#define BKD_H

#include <libsoup/soup.h>

#include "base/counter.h"
#include "base/err.h"
#include "config/cluster_config.h"
#include "msg/msg.h"

struct bkd;
struct bkd_call;

struct bkd *bkd_new (void);
/* Cancels what is open; no callback is called any more. */
void bkd_free (struct bkd *bkd);

struct bkd_options
{
  const struct cluster_backend *backend; /* copied as far as needed */
  const char *method;
  const char *path;            /* with the query */
  SoupMessageHeaders *headers; /* copied */
  GBytes *body;                /* a reference is taken; may be NULL */
  const char *content_type;    /* of the body */
  gboolean fresh;              /* on a new connection */
  gint64 timeout_us;           /* for the whole call */
  gint64 stall_us;             /* longest silence of the server */
  /* Callbacks come from the loop, never before bkd_open returns. Data comes
     only after the head; the end comes once, nothing after it. */
  void (*head) (void *ctx, guint status, SoupMessageHeaders *headers);
  void (*data) (void *ctx, struct str data);
  /* RESULT is OK, NOT_SENT, BROKEN or TIMED_OUT; SENT: some byte may have
     left. */
  void (*end) (void *ctx, enum msg_result result, gboolean sent,
               const struct err *err);
  void *ctx;
};

struct bkd_call *bkd_open (struct bkd *bkd, const struct bkd_options *options);
/* Closes the connection, which cancels the server's work. CALL is gone
   afterwards; it is gone after the end callback, too. */
void bkd_cancel (struct bkd_call *call);
/* Stops or goes on reading the answer. */
void bkd_pause (struct bkd_call *call, gboolean paused);

#endif
