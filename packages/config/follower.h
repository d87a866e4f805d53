/* The follower of one object of the platform, such as "config": keeps the
   newest version that this instance knows, reads and watches the object if it
   is a watcher of its failure domain, takes versions that peers push, asks
   peers that are ahead, and carries out operators' updates. A pure state
   machine.

   The version in force only ever grows. */
#ifndef FOLLOWER_H
#define FOLLOWER_H

#include <json-glib/json-glib.h>

#include "base/clk.h"
#include "base/ctr.h"
#include "store/sto.h"

#define FOLLOWER_TICK_US (20 * CLK_MS) /* longest time between ticks */
#define FOLLOWER_WATCH_US (30 * CLK_S) /* a watch without news */
#define FOLLOWER_WATCH_MIN_US                                                  \
  (1 * CLK_S)                          /* one that ends sooner has failed      \
                                        */
#define FOLLOWER_READ_US (2 * CLK_S)   /* time limit of a read */
#define FOLLOWER_WRITE_US (2 * CLK_S)  /* time limit of one try to write */
#define FOLLOWER_UPDATE_US (5 * CLK_S) /* time limit of an update */
#define FOLLOWER_GRACE_US (2 * CLK_S)  /* behind a time limit: no answer */
#define FOLLOWER_BACKOFF_MIN_US (200 * CLK_MS) /* after the first failure */
#define FOLLOWER_BACKOFF_MAX_US (5 * CLK_S)    /* after many */
#define FOLLOWER_MISSING_US                                                    \
  (30 * CLK_S)                           /* after the platform has no object   \
                                          */
#define FOLLOWER_ISOLATED_US (2 * CLK_S) /* without a version from peers */
#define FOLLOWER_REQUEST_GAP_US (250 * CLK_MS) /* between two asks of peers */
#define FOLLOWER_UPDATES_MAX 16                /* in progress at a time */

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
  X (ACCEPTED, "accepted") /* the store has it */                              \
  X (CONFLICT, "conflict") /* the store has another version */                 \
  X (REJECTED, "refused")  /* the store surely does not have it */             \
  X (UNKNOWN, "unknown")   /* the store may have it or get it yet */

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
                            object, 0 if it is gone or not known */
  gboolean may_have_run; /* CONFLICT: the update may have been in force before
                            the newer version */
  struct err err;        /* all but ACCEPTED: step and reason */
};

typedef void (*follower_done) (void *ctx, const struct follower_result *result);

struct follower_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct ctr *ctr;    /* borrowed; NULL: not counted */
  const char *object; /* name, copied */
  /* Starts a call to the platform; its answer comes by follower_complete with
     the same TOKEN, never before this returns. */
  void (*store) (void *ctx, guint64 token, const struct sto_call *call);
  /* Checks BODY and puts it in force. Called once for each version, in rising
     order. Returns FALSE if BODY is not valid. */
  gboolean (*accept) (void *ctx, guint64 version, GBytes *body,
                      enum follower_source source);
  /* Asks PEER for what is newer than VERSION. */
  void (*request) (void *ctx, const char *peer, guint64 version);
  void *ctx;
};

struct follower *follower_new (const struct follower_options *options);
/* Updates in progress end as refused or unknown. */
void follower_free (struct follower *follower);

void follower_set_watcher (struct follower *follower, gboolean watcher);
gboolean follower_receive (struct follower *follower, guint64 version,
                           GBytes *body);
void follower_peer_has (struct follower *follower, const char *peer,
                        guint64 version);
void follower_complete (struct follower *follower, guint64 token,
                        const struct sto_answer *response);
/* Due at least every FOLLOWER_TICK_US. */
void follower_tick (struct follower *follower);

int follower_update (struct follower *follower, guint64 expected, GBytes *body,
                     follower_done done, void *ctx);

guint64
follower_version (const struct follower *follower); /* in force; 0: none */
GBytes *
follower_body (const struct follower *follower); /* borrowed; NULL: none */
void follower_dump (const struct follower *follower, JsonBuilder *json);
const char *follower_outcome_name (enum follower_outcome outcome);
const char *follower_source_name (enum follower_source source);

#endif
