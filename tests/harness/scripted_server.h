/* A backend server in the test process. A script determines how it responds to
   each request; clients of the test recognize a response by the request's id.
   The proxy site and the soak use it.  */
#ifndef SCRIPTED_SERVER_H
#define SCRIPTED_SERVER_H

#include "base/err.h"
#include "harness/server_hints.h"
#include "http/head.h"

struct scripted_server;
struct scripted_connection; /* from an instance to the server */

/* How a stream is broken off.  */
enum scripted_break
{
  SCRIPTED_BREAK_NONE,
  SCRIPTED_BREAK_CLOSE,
  SCRIPTED_BREAK_RESET,
  SCRIPTED_BREAK_SILENCE /* the connection stays open */
};

/* A response with status 200: a body of one part, number 0, or a stream of
   events.  */
struct scripted_response
{
  gpointer request; /* of the script; borrowed until it has ended */
  const char *id;   /* of the request; borrowed as well */
  gboolean stream;
  guint first_event; /* of a stream */
  guint last_event;
  enum scripted_break broken; /* of a stream */
  guint break_event;          /* that is not sent any more */
  gboolean break_inside;      /* half of that event is sent */
  gboolean half_first;        /* no stream: half of the body is sent at once */
};

/* Callbacks; CTX is that of the server.  */
struct scripted_server_script
{
  /* A complete request has arrived; no other one is in progress. To respond, it
     calls scripted_server_respond or scripted_server_reject.  */
  void (*received) (void *ctx, struct scripted_connection *connection,
                    const struct http_head *head);
  /* Appends a part of the response to REQUEST.  */
  void (*append_part) (gconstpointer request, guint part, GString *out);
  /* Returns the milliseconds until the next part of the response is sent.  */
  guint (*delay_ms) (void *ctx, gconstpointer request);
  /* Returns whether the connection is dropped instead of sending the next part.
     NULL: never.  */
  gboolean (*drops) (void *ctx, gpointer request);
  /* The stream has been broken off as its response says. NULL: not wanted.  */
  void (*broke) (void *ctx, gpointer request);
  /* The response is complete, or its connection has been dropped.  */
  void (*ended) (void *ctx, gpointer request, gboolean complete);
  /* An instance has sent something that is no proper request.  */
  void (*unexpected) (void *ctx, const char *what);
  gboolean resets; /* dropped connections are reset */
};

/* Starts a server on a free port of 127.0.0.1. SCRIPT and CTX are borrowed;
   HINTS is owned from now on, and all responses say what it has. The result is
   freed by scripted_server_free.  */
struct scripted_server *
scripted_server_new (const struct scripted_server_script *script, void *ctx,
                     struct server_hints *hints);
void scripted_server_free (struct scripted_server *server);
/* Returns the hints, borrowed.  */
struct server_hints *
scripted_server_hints (const struct scripted_server *server);
struct server_hints *
scripted_connection_hints (const struct scripted_connection *connection);
guint scripted_server_port (const struct scripted_server *server);
/* Drops the connections. If DOWN the server refuses new ones, else it accepts
   them.  */
void scripted_server_set_down (struct scripted_server *server, gboolean down);
void scripted_server_respond (struct scripted_connection *connection,
                              const struct scripted_response *response);
/* Responds 503 to the request ID of SENDER, which has not run. SENDER is NULL
   if it may not receive the response.  */
void scripted_server_reject (struct scripted_connection *connection,
                             const char *id,
                             const struct server_hints_sender *sender);

#endif
