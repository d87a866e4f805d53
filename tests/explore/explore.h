/* Explorer of a request's life: plays cases of a client, the servers of its
   attempts and an event of the instance against a real reverse proxy in one
   process, and checks what clients and servers saw of each other.  */
#ifndef EXPLORE_H
#define EXPLORE_H

#include <glib.h>

#include "base/str.h"

/* X (NAME, "word"): route of the requests */
#define EXPLORE_ROUTES(X)                                                      \
  X (AGAIN, "again")     /* may be repeated, 2 attempts */                     \
  X (ONCE, "once")       /* at most once, 1 attempt */                         \
  X (ONCE2, "once2")     /* at most once, 2 attempts */                        \
  X (STREAM, "stream")   /* stream, not resumable, 1 attempt */                \
  X (RESUME, "resume")   /* resumable stream, 2 attempts */                    \
  X (RESUME3, "resume3") /* resumable stream, 3 attempts */

/* X (NAME, "word"): what the client does */
#define EXPLORE_CLIENTS(X)                                                     \
  X (READ, "read")         /* reads at once */                                 \
  X (PIECES, "pieces")     /* sends head and body in pieces */                 \
  X (SLOW, "slow")         /* reads late, over a small window */               \
  X (SHORT, "short")       /* asks for a shorter deadline */                   \
  X (AFTER, "after")       /* names a last event */                            \
  X (BACK, "back")         /* comes back after what it has */                  \
  X (PIPELINE, "pipeline") /* sends two requests at once */                    \
  X (NEXT, "next")         /* sends another request after the response */      \
  X (LEAVE_EARLY, "leave_early") /* leaves inside its head */                  \
  X (LEAVE_HEAD, "leave_head")   /* leaves before the response's head */       \
  X (LEAVE_EVENT, "leave_event") /* leaves after the first part of the body */

/* X (NAME, "word"): what a server does with an attempt */
#define EXPLORE_SERVERS(X)                                                     \
  X (COMPLETE, "complete")                                                     \
  X (NOTHING_CLOSE, "nothing_close")                                           \
  X (NOTHING_RESET, "nothing_reset")                                           \
  X (SILENCE, "silence")                                                       \
  X (NOTHING_END, "nothing_end") /* the server itself ends */                  \
  X (HEAD_END, "head_end")                                                     \
  X (HEAD_CLOSE, "head_close")                                                 \
  X (HEAD_RESET, "head_reset")                                                 \
  X (PART_CLOSE, "part_close")     /* inside the first event or body */        \
  X (EVENTS_CLOSE, "events_close") /* after two events, or half of the body */ \
  X (EVENTS_RESET, "events_reset")                                             \
  X (EVENTS_SILENCE, "events_silence")                                         \
  X (COMMENT_CLOSE, "comment_close")                                           \
  X (NO_ID, "no_id") /* an event without an id, then close */                  \
  X (EMPTY_ID, "empty_id")                                                     \
  X (LONG_ID, "long_id")       /* of 200 bytes, then close */                  \
  X (FROM_START, "from_start") /* whatever position it is given */             \
  X (REPEATS, "repeats")       /* begins with the event it is given */         \
  X (SPLIT, "split")           /* the head in single bytes */                  \
  X (CR_LINES, "cr_lines")                                                     \
  X (UNFRAMED, "unframed") /* no length, ends with the connection */           \
  X (UNFRAMED_HEAD, "unframed_head")                                           \
  X (UNFRAMED_PART, "unframed_part")                                           \
  X (TOO_SHORT, "too_short")     /* ends before its length or last chunk */    \
  X (ENDS_INSIDE, "ends_inside") /* complete framing, inside an event */       \
  X (EXTRA, "extra")             /* a second response after its own */         \
  X (EXTRA_LATE, "extra_late")   /* the same, just before the next request */  \
  X (STRAY, "stray")             /* a response to another request first */     \
  X (REFUSAL, "refusal") /* an earlier refusal once more, then complete */     \
  X (REFUSAL_LATE, "refusal_late")   /* complete, and a refusal of it just     \
                                        before the next request */             \
  X (INSIDE_STATUS, "inside_status") /* stops there, then close */             \
  X (INSIDE_FIELDS, "inside_fields")                                           \
  X (FAILS_STREAM, "fails_stream") /* 500 as a stream */                       \
  X (INTERIM, "interim")           /* 1xx twice, then complete */              \
  X (NO_CONTENT, "no_content")                                                 \
  X (OTHER_TYPE, "other_type")                                                 \
  X (UNSIGNED, "unsigned") /* success without a signature */                   \
  X (NOT_RUN, "not_run")   /* 503, not executed */                             \
  X (MISDIRECTED, "misdirected")                                               \
  X (FAILS, "fails")             /* 500 */                                     \
  X (UNAVAILABLE, "unavailable") /* 503 without a word of not executing */     \
  X (GARBAGE, "garbage")                                                       \
  X (GARBAGE_CHUNK, "garbage_chunk")

/* X (NAME, "word"): what happens to the instance meanwhile */
#define EXPLORE_EVENTS(X)                                                      \
  X (NONE, "none")                                                             \
  X (STALL, "stall") /* the loop stalls beyond the deadline, after the first   \
                        server has responded */                                \
  X (TERM, "term") /* is told to shut down when the first server is reached */ \
  X (TABLE, "table")       /* a new version of the configuration */            \
  X (ONCE_NOW, "once_now") /* one that allows no second attempt */             \
  X (GONE, "gone")         /* the first server leaves the list */              \
  X (LEAVING, "leaving")                                                       \
  X (VERSIONS, "versions") /* servers of two versions of the software serve */ \
  X (RELEASE, "release")   /* all other servers restart as a newer version */

#define EXPLORE_ENUM(prefix, id) EXPLORE_##prefix##_##id,
enum explore_route
{
#define X(id, word) EXPLORE_ENUM (ROUTE, id)
  EXPLORE_ROUTES (X)
#undef X
      EXPLORE_ROUTE_N
};
enum explore_client
{
#define X(id, word) EXPLORE_ENUM (CLIENT, id)
  EXPLORE_CLIENTS (X)
#undef X
      EXPLORE_CLIENT_N
};
enum explore_server
{
#define X(id, word) EXPLORE_ENUM (SERVER, id)
  EXPLORE_SERVERS (X)
#undef X
      EXPLORE_SERVER_N
};
enum explore_event
{
#define X(id, word) EXPLORE_ENUM (EVENT, id)
  EXPLORE_EVENTS (X)
#undef X
      EXPLORE_EVENT_N
};

#define EXPLORE_ATTEMPTS                                                       \
  2 /* servers that a case names; further ones respond                         \
       completely */

struct explore_case
{
  enum explore_route route;
  enum explore_client client;
  enum explore_server servers[EXPLORE_ATTEMPTS];
  enum explore_event event;
};

/* X (NAME): rules that a case can break, named as on the users' page where it
   has them */
#define EXPLORE_RULES(X)                                                       \
  X (ORDER)                                                                    \
  X (MIXED)                                                                    \
  X (TWICE)                                                                    \
  X (REFUSED)                                                                  \
  X (UNASKED)                                                                  \
  X (BUDGET)                                                                   \
  X (LOST)                                                                     \
  X (GONE)                                                                     \
  X (READY)   /* a complete response is delivered */                           \
  X (STUCK)   /* the case does not end in time */                              \
  X (REMAINS) /* something is left behind */

enum explore_rule
{
#define X(id) EXPLORE_RULE_##id,
  EXPLORE_RULES (X)
#undef X
      EXPLORE_RULE_N
};

/* What a case has shown.  */
struct explore_result
{
  guint broken; /* bit i: rule i */
  GString *why; /* a line for each; owned */
};

gboolean explore_has_versions (enum explore_event event);

void explore_result_init (struct explore_result *result);
void explore_result_clear (struct explore_result *result);
void explore_break (struct explore_result *result, enum explore_rule rule,
                    const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Runs C against a new reverse proxy.  */
void explore_run (const struct explore_case *c, struct explore_result *result);

/* Text of a case: one line of words.  */
char *explore_case_text (const struct explore_case *c);
gboolean explore_case_parse (const char *text, struct explore_case *c,
                             const char **wrong);

/* Number of the planted fault in force; 0: none.  */
extern guint explore_plant;
/* X (NUMBER, "name") */
#define EXPLORE_PLANTS(X)                                                      \
  X (1, "a client's position is lost at a retry")                              \
  X (2, "a repeated event is accepted where a stream is resumed")              \
  X (3, "a stream is resumed after an event without an id")                    \
  X (4, "a response of another kind continues a stream")                       \
  X (5, "a stream that ends early is complete")                                \
  X (6, "the deadline comes before the ready response")                        \
  X (7, "a failed request gets no response")                                   \
  X (8, "a request that may have run is repeated")                             \
  X (9, "what may have run is reported as not run")                            \
  X (10, "one attempt more than the route allows")                             \
  X (11, "a response to another request is taken")                             \
  X (12, "a head that arrives in pieces is refused")                           \
  X (13, "part of a request's body is dropped")                                \
  X (14, "a server is given more time than is left")                           \
  X (15, "a place at a server is not given back")                              \
  X (16, "an incomplete event is kept for the next attempt")                   \
  X (17, "unread bytes of a kept connection are taken for the response")       \
  X (18, "a request that has ended two servers is sent to a third")            \
  X (19, "an attempt that has ended stays a trial of its parts")               \
  X (20, "an earlier refusal is taken for the response")                       \
  X (21, "an error response is sent inside a stream")                          \
  X (22, "a head that breaks off is taken for a whole one")                    \
  X (23, "a response goes on at any version of the software")                  \
  X (24, "a client resumes its stream at any version of the software")
#define EXPLORE_PLANT_N 24
const char *explore_plant_name (guint plant);

#endif
