/* Incremental parser of HTTP/1.1 messages on one connection. It is strict:
   input that implementations may interpret differently is an error.
   Informational responses (1xx) are skipped; one that switches protocols is an
   error. What a peer can send besides bodies is limited: the heads of a
   response, informational ones included, to the limit of a head; chunk framing
   and trailers to that limit between two bytes of the body, and in all to it
   and a small multiple of the body.  */
#ifndef HTTP_READER_H
#define HTTP_READER_H

#include "base/err.h"
#include "http/head.h"

/* Callbacks, which may be NULL. If head or body returns FALSE, the reader stops
   with an error.  */
struct http_reader_handler
{
  /* The head is complete. Not called for informational responses. */
  gboolean (*head) (void *ctx, const struct http_head *head);
  gboolean (*body) (void *ctx, struct str bytes);
  /* The message is complete. The reader takes no bytes until http_reader_next.
   */
  void (*end) (void *ctx);
};

struct http_reader;

struct http_reader *http_reader_new (gboolean responses,
                                     const struct http_reader_handler *handler,
                                     void *ctx);
void http_reader_free (struct http_reader *reader);
void http_reader_limit_head (struct http_reader *reader, gsize head_bytes);
/* Parses BYTES and returns how many were consumed, or a negative ERR_ code:
   ERR_TOO_LARGE for heads over the limit, else ERR_PROTOCOL.  */
gssize http_reader_feed (struct http_reader *reader, struct str bytes,
                         struct err *err);
/* Ends the input after the peer has closed the connection. Returns ERR_CLOSED
   if a message is incomplete.  */
int http_reader_finish (struct http_reader *reader, struct err *err);
/* Starts the next message. NO_BODY: it is the response to a HEAD request.  */
void http_reader_next (struct http_reader *reader, gboolean no_body);
const struct http_head *http_reader_head (const struct http_reader *reader);
gboolean http_reader_in_message (const struct http_reader *reader);
gboolean http_reader_in_head (const struct http_reader *reader);
gboolean http_reader_ends_with_connection (const struct http_reader *reader);

#endif
