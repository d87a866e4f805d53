/* What a backend server of a test says of itself in its responses: that it is
   leaving (X-Leaving), and for how long it wants nothing from an instance
   (Retry-After with a 503), or how many requests a second it takes (X-Limit,
   see limit_check.h); and the check whether instances keep to it. A sender is a
   process of an instance; times are monotonic microseconds.  */
#ifndef SERVER_HINTS_H
#define SERVER_HINTS_H

#include "http/head.h"

/* Until then requests that crossed a rejection do not count.  */
#define SERVER_HINTS_HEARD_US (500 * G_TIME_SPAN_MILLISECOND)
/* Requests of a sender that may reach the server in the rest of the time.  */
#define SERVER_HINTS_REQUESTS_MAX 2

struct server_hints;

/* The life of a server, as one of its responses names it.  */
struct server_hints_life
{
  guint server;
  guint number;
};

/* A sender, and the last time until which it was frozen; 0: never,
   G_MAXINT64: it still is, or was killed.  */
struct server_hints_sender
{
  gconstpointer id;
  gint64 disturbed_until;
};

struct server_hints_counts
{
  guint backoffs;   /* 503 with Retry-After */
  guint passed_on;  /* responses with X-Leaving that a client has received */
  guint in_backoff; /* requests while the sender was not to send any */
  /* Requests to a leaving server that were sent after it had said so, within
     the drain time.  */
  guint after_leave;
};

/* SERVER is a number of the caller's.  */
struct server_hints *server_hints_new (guint server, guint drain_ms);
void server_hints_free (struct server_hints *hints);
/* A new life begins, which has said nothing yet.  */
void server_hints_restart (struct server_hints *hints);
/* What all responses say in X-Limit; 0: nothing.  */
void server_hints_set_limit (struct server_hints *hints, double per_s);
/* What all responses say in X-Brittle; -1: nothing.  */
void server_hints_set_brittle (struct server_hints *hints,
                               int rejections_per_s);
void server_hints_set_leaving (struct server_hints *hints, gboolean leaving);
/* The Retry-After of the next rejections; 0: none.  */
void server_hints_set_backoff (struct server_hints *hints, guint ms);
guint server_hints_backoff_ms (const struct server_hints *hints);
/* Appends the header fields of a response, of a rejection if REJECTED.  */
void server_hints_append_fields (const struct server_hints *hints,
                                 gboolean rejected, GString *fields);
/* Returns whether the head of a response says that its server is leaving, and
   fills in LIFE then.  */
gboolean server_hints_read (const struct http_head *head,
                            struct server_hints_life *life);
/* To be called when a client has received a response of LIFE that says that the
   server is leaving.  */
void server_hints_passed_on (struct server_hints *hints,
                             const struct server_hints_sender *sender,
                             const struct server_hints_life *life, gint64 now);
/* To be called when the server has rejected a request of SENDER and that can
   receive the response.  */
void server_hints_rejected (struct server_hints *hints,
                            const struct server_hints_sender *sender,
                            gint64 now);
/* Rejections after SINCE may not have been received.  */
void server_hints_forget_rejections (struct server_hints *hints, gint64 since);
/* To be called when a request has arrived that its client has sent at SENT_AT.
   Returns the rule that it breaks as static text, or NULL.  */
const char *server_hints_arrived (struct server_hints *hints,
                                  const struct server_hints_sender *sender,
                                  gint64 sent_at, gint64 now);
void server_hints_add_counts (const struct server_hints *hints,
                              struct server_hints_counts *counts);

#endif
