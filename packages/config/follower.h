/* A follower keeps this instance's copy of one platform object, such as
   "config", up to date. If the instance is a watcher of its failure domain, the
   follower reads and watches the object on the platform. It also applies
   versions that peers push, requests newer versions from peers that report
   them, and performs operators' updates of the object.

   A state machine without I/O of its own. The applied version never
   decreases. */
#ifndef FOLLOWER_H
#define FOLLOWER_H

#include <json-glib/json-glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "store/storage.h"

#define FOLLOWER_TICK_US (20 * CLK_MS) /* maximum time between ticks */

/* Time limits of calls to the platform and of an update. A watch that times out
   before FOLLOWER_WATCH_MIN_US has failed. One that begins during a partition
   may get no response at all, so its time limit also bounds the time until a
   version arrives after the partition. A call is given up if it has no
   response FOLLOWER_GRACE_US after its time limit. */
#define FOLLOWER_WATCH_US (10 * CLK_S)
#define FOLLOWER_WATCH_MIN_US (1 * CLK_S)
#define FOLLOWER_READ_US (2 * CLK_S)
#define FOLLOWER_WRITE_US (2 * CLK_S)
#define FOLLOWER_UPDATE_US (5 * CLK_S)
#define FOLLOWER_GRACE_US (2 * CLK_S)

/* Exponential backoff: delay after the first failure and maximum delay. */
#define FOLLOWER_BACKOFF_MIN_US (200 * CLK_MS)
#define FOLLOWER_BACKOFF_MAX_US (5 * CLK_S)
/* Minimum delay after the platform reported that the object does not exist, on
   instances that are not watchers. */
#define FOLLOWER_MISSING_US (30 * CLK_S)

/* An instance without a version reads the platform itself after this time
   without a version from a peer. */
#define FOLLOWER_ISOLATED_US (2 * CLK_S)
#define FOLLOWER_REQUEST_GAP_US (250 * CLK_MS) /* between requests to peers */
#define FOLLOWER_UPDATES_MAX 16                /* updates in progress */

struct follower;

/* Where a version came from. X (NAME, "name") */
#define FOLLOWER_SOURCES(X)                                                    \
  X (STORE, "store")                                                           \
  X (PEER, "peer")                                                             \
  X (UPDATE, "update") /* an update made by this instance */

enum follower_source
{
#define FOLLOWER_SOURCE_ENUM(id, name) FOLLOWER_FROM_##id,
  FOLLOWER_SOURCES (FOLLOWER_SOURCE_ENUM)
#undef FOLLOWER_SOURCE_ENUM
};

/* How an update ended. X (NAME, "name") */
#define FOLLOWER_OUTCOMES(X)                                                   \
  X (ACCEPTED, "accepted") /* the store has the update */                      \
  X (CONFLICT, "conflict") /* the store has another version */                 \
  X (REJECTED, "refused")  /* the store does not have the update */            \
  X (UNKNOWN, "unknown")   /* the store may have it, or may still get it */

enum follower_outcome
{
#define FOLLOWER_OUTCOME_ENUM(id, name) FOLLOWER_##id,
  FOLLOWER_OUTCOMES (FOLLOWER_OUTCOME_ENUM)
#undef FOLLOWER_OUTCOME_ENUM
};

struct follower_result
{
  enum follower_outcome outcome;
  guint64 version;       /* ACCEPTED: of the update; CONFLICT: of the newer
                            object, 0 if it was deleted or is unknown */
  gboolean may_have_run; /* CONFLICT: the update may have been applied before
                            the newer version */
  struct err err;        /* unless ACCEPTED: failed step and reason */
};

typedef void (*follower_done) (void *ctx, const struct follower_result *result);

struct follower_options
{
  const struct clk *clk;           /* borrowed */
  guint32 seed;                    /* of the jitter of backoff */
  struct counter_set *counter_set; /* borrowed; NULL: not counted */
  const char *object;              /* name, copied */
  /* Starts a call to the platform. Its response is passed to follower_complete
     with the same TOKEN, never before this returns. */
  void (*store) (void *ctx, guint64 token, const struct storage_request *call);
  /* Validates BODY and applies it. Called once for each version, in increasing
     order. Returns FALSE if BODY is invalid. */
  gboolean (*accept) (void *ctx, guint64 version, GBytes *body,
                      enum follower_source source);
  /* Requests a version newer than VERSION from PEER. */
  void (*request) (void *ctx, const char *peer, guint64 version);
  void *ctx;
};

struct follower *follower_new (const struct follower_options *options);
/* Updates in progress end as FOLLOWER_REJECTED or FOLLOWER_UNKNOWN. */
void follower_free (struct follower *follower);

void follower_set_watcher (struct follower *follower, gboolean watcher);
gboolean follower_receive (struct follower *follower, guint64 version,
                           GBytes *body);
void follower_peer_has (struct follower *follower, const char *peer,
                        guint64 version);
void follower_complete (struct follower *follower, guint64 token,
                        const struct storage_response *response);
/* Must be called at least every FOLLOWER_TICK_US. */
void follower_tick (struct follower *follower);

int follower_update (struct follower *follower, guint64 expected, GBytes *body,
                     follower_done done, void *ctx);

/* The applied version, 0 if none, and its body, borrowed, NULL if none. */
guint64 follower_version (const struct follower *follower);
GBytes *follower_body (const struct follower *follower);
void follower_dump (const struct follower *follower, JsonBuilder *json);
const char *follower_outcome_name (enum follower_outcome outcome);
const char *follower_source_name (enum follower_source source);

#endif
