/* A small HTTP server for requests without a body: readiness checks, metrics
   and what instances fetch from each other.  */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "base/err.h"
#include "http/head.h"

struct http_server;

/* A response, which the handler fills. It starts with status 404 and an empty
   body.  */
struct http_server_response
{
  guint status;
  const char *type; /* media type of the body; static text */
  GString *body;
};

/* Fills RESPONSE for the request HEAD.  */
typedef void (*http_server_handler) (void *ctx, const struct http_head *head,
                                     struct http_server_response *response);

struct http_server_options
{
  const char *address; /* IP:PORT; with port 0 the kernel chooses one */
  http_server_handler handler;
  void *ctx;       /* for the handler */
  guint idle_ms;   /* until a complete request; 0: the default */
  guint conns_max; /* open connections, and as many that are being closed; 0:
                      the default */
};

struct http_server *http_server_new (const struct http_server_options *options,
                                     struct err *err);
void http_server_free (struct http_server *server);
guint http_server_port (const struct http_server *server);

#endif
