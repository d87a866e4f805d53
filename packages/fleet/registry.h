/* Registry of the backend servers in the store's list: which may be used,
   which are leaving, which were removed. Once an entry or a response of a
   server has announced that it is leaving, this holds until the server
   restarts.  */
#ifndef REGISTRY_H
#define REGISTRY_H

#include "base/clock.h"
#include "base/err.h"
#include "base/str.h"
#include "policy/brittle_share.h"
#include "policy/limit_share.h"
#include "policy/server_health.h"
#include "policy/server_limit.h"
#include "policy/server_pace.h"

/* An entry of the store's list. */
struct registry_entry
{
  char id[STR_ID_MAX + 1];
  char service[STR_ID_MAX + 1];
  char address[ERR_PEER_MAX]; /* IP:PORT */
  char domain[STR_ID_MAX + 1];
  char version[STR_ID_MAX + 1]; /* of its software; "": not stated */
  gint64 start_time_ms;         /* reported by the server; 0: unknown */
  guint slots;                  /* concurrent requests */
  gint64 warming_until; /* clock time until which it is slow; 0: not slow */
  gboolean leaving;
  gboolean is_spot;  /* of the cheaper kind, which may be reclaimed */
  gint64 leaving_at; /* clock time at which it ends; 0: not stated */
};

/* X (NAME, "name") */
#define REGISTRY_STATES(X)                                                     \
  X (READY, "ready")                                                           \
  X (LEAVING, "leaving") /* announced by the server; gets no new requests */   \
  X (REMOVED, "gone")    /* no longer listed; gets no new requests */

enum registry_state
{
#define REGISTRY_STATE_ENUM(id, name) REGISTRY_##id,
  REGISTRY_STATES (REGISTRY_STATE_ENUM)
#undef REGISTRY_STATE_ENUM
};

/* What a server has asked of this instance: to send nothing for a while.  */
struct registry_backoff
{
  gint64 until;   /* clock time; 0: never asked */
  gint64 asked;   /* clock time of the last response that asked for it */
  gboolean trial; /* it has not answered a request since: one at a time */
  guint trials;   /* requests in progress that were sent since */
};

/* A backend server from one start to the next. Reference-counted: requests
   keep a removed server until they end.  */
struct registry_server
{
  struct registry_entry entry;
  enum registry_state state;
  guint number;         /* unique in the process, new after each restart */
  gint64 listed_since;  /* clock time at which it was first listed */
  guint list_number;    /* of the last list that contains it */
  gint64 missing_since; /* clock time since which it is not listed; 0: listed */
  struct server_health server_health; /* as measured by this instance */
  struct server_pace server_pace;     /* the same, of the last moments */
  gint64 avoid_until; /* not to be used before this clock time; 0: no limit */
  gint64 peer_avoid_until; /* the same by a peer's word alone: only if there are
                              other servers */
  struct registry_backoff backoff;
  struct server_limit limit;
  struct limit_share limit_share; /* of this instance */
  /* Whether it is brittle: as a limit, one more than the rejections a second
     that it bears. */
  struct server_limit brittle;
  struct brittle_share brittle_share;
  guint unreachable_in_row; /* consecutive attempts that could not reach it */
  gint64 last_reached;      /* clock time of its last message; 0: never */
  gint64 said_leaving_at; /* clock time of its first response that says that it
                             is leaving; 0: none */
  gint64 may_leave_since; /* clock time of the first response that was received
                             for an earlier life, may be of this one and says
                             that it is leaving; 0: none */
  gint64 may_leave_from;  /* responses before this clock time are not of this
                             life, or of a time when it was not leaving; 0:
                             unknown */
  gint64 drain_until; /* if it has said so, or may have: clock time until which
                         it may get new requests; 0: no limit */
  gboolean peer_said_leaving; /* it has said so to another instance */
  guint refs;
  void *owner_data; /* of the registry's user; borrowed */
};

enum registry_change_kind
{
  REGISTRY_SERVER_ADDED,
  REGISTRY_SERVER_LEAVING,
  REGISTRY_SERVER_REMOVED
};

/* X (NAME, "name"): where a change comes from */
#define REGISTRY_SOURCES(X)                                                    \
  X (LIST, "list")         /* of the store, read directly or from a peer */    \
  X (RESPONSE, "response") /* of the server to this instance */                \
  X (PEER, "peer")         /* response of the server to another instance */

enum registry_source
{
#define REGISTRY_SOURCE_ENUM(id, name) REGISTRY_FROM_##id,
  REGISTRY_SOURCES (REGISTRY_SOURCE_ENUM)
#undef REGISTRY_SOURCE_ENUM
};

struct registry_change
{
  enum registry_change_kind kind;
  struct registry_server *server;
  enum registry_source source;
};

struct registry;

typedef void (*registry_changed) (void *ctx,
                                  const struct registry_change *change);

struct registry *registry_new (registry_changed changed, void *ctx);
void registry_free (struct registry *registry);
void registry_set_drain_time (struct registry *registry, gint64 us);
void registry_set_times (struct registry *registry, gint64 previous_list_at,
                         gint64 wall_offset);
void registry_store_failed (struct registry *registry, gint64 now);
void registry_list_confirmed (struct registry *registry, gint64 read_at,
                              gint64 now);
void registry_update (struct registry *registry,
                      const struct registry_entry *entries, guint n,
                      gint64 now);
void registry_tick (struct registry *registry, gint64 now);
gboolean registry_is_loaded (const struct registry *registry);
/* Returns the servers sorted by id, borrowed until the next change. */
struct registry_server *const *
registry_servers (const struct registry *registry, guint *n);
struct registry_server *registry_find (const struct registry *registry,
                                       const char *id);
guint registry_generation (const struct registry *registry);
guint64 registry_life_key (const struct registry_server *server);
void registry_mark_reached (struct registry_server *server, gint64 now);
void registry_mark_unreachable (struct registry_server *server, gint64 now);
void registry_forget_unreachable (struct registry *registry);
gboolean registry_is_unreachable (const struct registry_server *server,
                                  gint64 now);
void registry_peer_found_unreachable (struct registry_server *server,
                                      gint64 now);
void registry_back_off (struct registry_server *server, gint64 now, gint64 us);
gboolean registry_is_backing_off (const struct registry_server *server,
                                  gint64 now);
gboolean registry_report_limit (struct registry_server *server,
                                const struct server_limit_report *report,
                                const char *request_id, gint64 now);
void registry_report_brittle (struct registry_server *server,
                              const struct server_limit_report *report,
                              const char *request_id, gint64 now);
void registry_brittle_full (struct registry_server *server, guint room,
                            gboolean own, gint64 at);
void registry_mark_serving (struct registry_server *server);
void registry_mark_leaving (struct registry *registry,
                            const struct registry_server *server, gint64 now);
void registry_mark_not_leaving (struct registry *registry,
                                struct registry_server *server, gint64 started,
                                gint64 now);
void registry_peer_found_leaving (struct registry *registry,
                                  struct registry_server *server);
gboolean registry_is_leaving (const struct registry_server *server);
gboolean registry_may_serve (const struct registry_server *server, gint64 now);
struct registry_server *registry_server_ref (struct registry_server *server);
void registry_server_unref (struct registry_server *server);
const char *registry_state_name (enum registry_state state);
const char *registry_source_name (enum registry_source source);

#endif
