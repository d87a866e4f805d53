/* Incremental reader of HTTP/1.1 messages on one connection. Strict: what two
   readers could take differently is an error.  */
#ifndef HTTP_READER_H
#define HTTP_READER_H

#include "base/err.h"
#include "http/head.h"

/* What the owner is told; each returns FALSE to stop reading after it, as at
   an error.  */
struct http_reader_handler
{
  /* The head is whole. EMPTY: the message has no body by its framing. */
  gboolean (*head) (void *ctx, const struct http_head *head);
  gboolean (*body) (void *ctx, struct str bytes);
  /* The message is whole. Reading pauses until http_reader_next. */
  void (*end) (void *ctx);
};

struct http_reader;

struct http_reader *http_reader_new (gboolean responses,
                                     const struct http_reader_handler *handler,
                                     void *ctx);
void http_reader_free (struct http_reader *http_reader);
void http_reader_limit_head (struct http_reader *http_reader, gsize head_bytes);
/* Takes bytes; returns how many it took, or a negative ERR_ number:
   ERR_TOO_LARGE for a head over the limit, else ERR_PROTOCOL. */
gssize http_reader_feed (struct http_reader *http_reader, struct str bytes,
                         struct err *err);
/* The connection has ended in order. Returns ERR_CLOSED inside a message
   whose framing does not end with the connection. */
int http_reader_finish (struct http_reader *http_reader, struct err *err);
/* Goes on to the next message; NO_BODY: it answers a HEAD request. */
void http_reader_next (struct http_reader *http_reader, gboolean no_body);
const struct http_head *
http_reader_head (const struct http_reader *http_reader);
gboolean http_reader_in_message (const struct http_reader *http_reader);
gboolean http_reader_in_head (const struct http_reader *http_reader);
gboolean
http_reader_ends_with_connection (const struct http_reader *http_reader);

#endif
