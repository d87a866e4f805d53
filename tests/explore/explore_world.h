/* What a case shows: the requests of its client and their arrivals at
   servers.  */
#ifndef EXPLORE_WORLD_H
#define EXPLORE_WORLD_H

#include "explore/explore.h"
#include "unit/proxy_fixture.h"

#define EXPLORE_EVENTS_OF_STREAM 4
#define EXPLORE_PLAIN "plain\n\n" /* body that is no event stream */
#define EXPLORE_TIMEOUT_MS 150    /* of the routes */
/* The same if a server ends, and requests wait for the trial of a part. */
#define EXPLORE_TRIAL_TIMEOUT_MS 900
#define EXPLORE_TRIAL_SHORT_MS 600
#define EXPLORE_SHORT_MS 90   /* deadline of a client that asks for it */
#define EXPLORE_STUCK_MS 4000 /* longest time of a case */

/* An attempt, as its server saw it.  */
struct explore_arrival
{
  guint run; /* number among the arrivals of the case, from 1 */
  enum explore_server server;
  struct proxy_test_request *request; /* borrowed from the fixture */
  struct explore_request *of;         /* NULL: no client sent it */
  char *position;                     /* Last-Event-ID; owned; NULL: none */
  const char *version; /* of the server's software; static; NULL: none */
  GString *body;       /* what it sent: whole events, or the body; owned */
  guint status;        /* of its response; 0: none */
  gboolean full;       /* it sent a whole proper response */
  gboolean not_run;    /* it said that it has not executed the request */
  gboolean sent_head;
  gint64 at; /* monotonic microseconds */
};

/* An attempt of the client.  */
struct explore_request
{
  char id[16];
  const char *after;   /* the last event that it names; static or owned by the
                          case; "": none */
  const char *resumes; /* id of the request whose stream it resumes; borrowed;
                          NULL: none */
  guint deadline_ms;   /* 0: names none */
  gboolean sent;       /* completely */
  gint64 left_at;      /* the client has closed its connection; 0: not */
  gboolean ended;      /* the connection ended, by the proxy */
  guint status;        /* 0: no head of a response */
  gboolean is_signed;
  gboolean complete;  /* the response, by its framing */
  gboolean malformed; /* likewise */
  GString *body;      /* owned */
};

struct explore_world
{
  struct explore_case c;
  struct explore_result *result;
  GPtrArray *requests; /* of struct explore_request, owned */
  GPtrArray *arrivals; /* of struct explore_arrival, owned */
  GString *surplus;    /* bytes after the last response; owned */
  gint64 stalled_at;   /* 0: not */
};

extern struct explore_world explore_world;

gboolean explore_is_stream (enum explore_route route);
gboolean explore_may_repeat (enum explore_route route);
guint explore_attempts (enum explore_route route);
const char *explore_path (enum explore_route route);
guint explore_timeout_ms (void);
guint explore_short_ms (void);
gboolean explore_server_ends (enum explore_server server);

/* Server side: the script of all servers of the fixture.  */
void explore_serve (struct proxy_test_link *link,
                    struct proxy_test_request *request);
void explore_send_extra (void);
/* Client side: plays the client of the case to its end.  */
void explore_play_client (void);
/* Checks what was seen.  */
void explore_check (void);

#endif
