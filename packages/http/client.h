/* HTTP client for one server, with persistent connections. Complete requests
   and responses are kept in memory, so they should be small.  */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "base/err.h"
#include "http/head.h"

struct http_client;

struct http_client_options
{
  const char *address; /* IP:PORT */
  const char *token;   /* bearer token; NULL: none */
  guint silence_ms;    /* longest time without a TCP acknowledgement */
  guint connect_ms;    /* connect timeout */
  gsize body_max;      /* longest response body */
  /* A response that comes at this rate at least may take longer than the
     time-out of its request; 0: it may not. */
  guint bytes_per_s_min;
  gboolean resets; /* a connection whose request has failed is reset, so that
                      the kernel sends no more of the request */
};

struct http_client_request
{
  const char *method;
  const char *target; /* path and query */
  struct str body;    /* empty: none */
  const char *type;   /* media type of the body */
  const char *fields; /* further header lines, each with CRLF; NULL: none */
  guint timeout_ms;   /* until the response is complete; 0: none */
};

struct http_client_response
{
  int code;                     /* 0, or an ERR_ code: there is no response */
  const struct err *err;        /* if code is not 0; valid during the call */
  const struct http_head *head; /* if code is 0; valid during the call */
  struct str body;              /* valid during the call */
};

/* Called with the result of a request. May free the client.  */
typedef void (*http_client_done) (void *ctx,
                                  const struct http_client_response *response);

struct http_client *http_client_new (const struct http_client_options *options);
void http_client_free (struct http_client *client);
void http_client_send (struct http_client *client,
                       const struct http_client_request *request,
                       http_client_done done, void *ctx);
void http_client_close_idle (struct http_client *client);

#endif
