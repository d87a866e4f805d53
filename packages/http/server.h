/* A small HTTP server for calls without a body: readiness, metrics, what
   instances fetch from each other.  */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "base/err.h"
#include "http/head.h"

struct http_server;

/* An answer in the making: status 404 and an empty body unless the handler
   says otherwise.  */
struct http_server_response
{
  guint status;
  const char *type; /* media type of the body; static text */
  GString *body;
};

typedef void (*http_server_handler) (void *ctx, const struct http_head *head,
                                     struct http_server_response *reply);

struct http_server *http_server_new (const char *address,
                                     http_server_handler handler, void *ctx,
                                     struct err *err);
void http_server_free (struct http_server *http_server);
guint http_server_port (const struct http_server *http_server);

#endif
