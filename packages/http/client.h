/* Small HTTP calls to one server over kept connections: a request out, the
   whole answer back.  */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "base/err.h"
#include "http/head.h"

struct http_client;

struct http_client_options
{
  const char *address; /* IP:PORT */
  const char *token;   /* bearer token; NULL: none */
  guint silence_ms;    /* a connection silent for so long is given up */
  guint connect_ms;
  gsize body_max; /* bytes of an answer */
};

struct http_client_request
{
  const char *method;
  const char *target; /* path and query */
  struct str body;    /* empty: none */
  const char *type;   /* of the body */
  guint timeout_ms;   /* until the whole answer is there */
};

struct http_client_response
{
  int code;                     /* 0, or an ERR_ number: no whole answer came */
  const struct err *err;        /* if code is not 0 */
  const struct http_head *head; /* if code is 0 */
  struct str body;              /* borrowed */
};

typedef void (*http_client_done) (void *ctx,
                                  const struct http_client_response *answer);

struct http_client *http_client_new (const struct http_client_options *options);
void http_client_free (struct http_client *http_client);
void http_client_send (struct http_client *http_client,
                       const struct http_client_request *request,
                       http_client_done done, void *ctx);
void http_client_close_idle (struct http_client *http_client);

#endif
