/* The follower of one object of the platform, such as "config": keeps the
   newest version that this instance knows, reads and watches the object if it
   is a watcher of its failure domain, takes versions that peers push, asks
   peers that are ahead, and carries out operators' updates. A pure state
   machine.

   The version in force only ever grows. */
#ifndef CFT_H
#define CFT_H

#include <json-glib/json-glib.h>

#include "base/clk.h"
#include "base/ctr.h"
#include "store/storage.h"

#define CFT_TICK_US (20 * CLK_MS)         /* longest time between ticks */
#define CFT_WATCH_US (30 * CLK_S)         /* a watch without news */
#define CFT_WATCH_MIN_US (1 * CLK_S)      /* one that ends sooner has failed */
#define CFT_READ_US (2 * CLK_S)           /* time limit of a read */
#define CFT_WRITE_US (2 * CLK_S)          /* time limit of one try to write */
#define CFT_UPDATE_US (5 * CLK_S)         /* time limit of an update */
#define CFT_LOST_US (2 * CLK_S)           /* behind a time limit: no answer */
#define CFT_BACKOFF_MIN_US (200 * CLK_MS) /* after the first failure */
#define CFT_BACKOFF_MAX_US (5 * CLK_S)    /* after many */
#define CFT_ABSENT_US (30 * CLK_S)        /* after the platform has no object */
#define CFT_ALONE_US (2 * CLK_S)          /* without a version from peers */
#define CFT_ASK_US (250 * CLK_MS)         /* between two asks of peers */
#define CFT_UPDATES_MAX 16                /* in progress at a time */

struct cft;

/* Where a version came from. X (NAME, "name") */
#define CFT_SOURCES(X)                                                         \
  X (STORE, "store")                                                           \
  X (PEER, "peer")                                                             \
  X (UPDATE, "update") /* an update made by this instance */

enum cft_source
{
#define CFT_SOURCE_ENUM(id, name) CFT_FROM_##id,
  CFT_SOURCES (CFT_SOURCE_ENUM)
#undef CFT_SOURCE_ENUM
};

/* How an update ended. X (NAME, "name") */
#define CFT_OUTCOMES(X)                                                        \
  X (ACCEPTED, "accepted") /* the store has it */                              \
  X (CONFLICT, "conflict") /* the store has another version */                 \
  X (REFUSED, "refused")   /* the store surely does not have it */             \
  X (UNKNOWN, "unknown")   /* the store may have it or get it yet */

enum cft_outcome
{
#define CFT_OUTCOME_ENUM(id, name) CFT_##id,
  CFT_OUTCOMES (CFT_OUTCOME_ENUM)
#undef CFT_OUTCOME_ENUM
};

struct cft_result
{
  enum cft_outcome outcome;
  guint64 version;       /* ACCEPTED: of the update; CONFLICT: of the newer
                            object, 0 if it is gone or not known */
  gboolean may_have_run; /* CONFLICT: the update may have been in force before
                            the newer version */
  struct err err;        /* all but ACCEPTED: step and reason */
};

typedef void (*cft_done) (void *ctx, const struct cft_result *result);

struct cft_options
{
  const struct clk *clk; /* borrowed */
  guint32 seed;
  struct ctr *ctr;    /* borrowed; NULL: not counted */
  const char *object; /* name, copied */
  /* Starts a call to the platform; its answer comes by cft_answer with the
     same TOKEN, never before this returns. */
  void (*store) (void *ctx, guint64 token, const struct storage_request *call);
  /* Checks BODY and puts it in force. Called once for each version, in rising
     order. Returns FALSE if BODY is not valid. */
  gboolean (*accept) (void *ctx, guint64 version, GBytes *body,
                      enum cft_source source);
  /* Asks PEER for what is newer than VERSION. */
  void (*ask) (void *ctx, const char *peer, guint64 version);
  void *ctx;
};

struct cft *cft_new (const struct cft_options *options);
/* Updates in progress end as refused or unknown. */
void cft_free (struct cft *cft);

void cft_set_watcher (struct cft *cft, gboolean watcher);
gboolean cft_offer (struct cft *cft, guint64 version, GBytes *body);
void cft_peer_has (struct cft *cft, const char *peer, guint64 version);
void cft_answer (struct cft *cft, guint64 token,
                 const struct storage_response *answer);
/* Due at least every CFT_TICK_US. */
void cft_tick (struct cft *cft);

int cft_update (struct cft *cft, guint64 expected, GBytes *body, cft_done done,
                void *ctx);

guint64 cft_version (const struct cft *cft); /* in force; 0: none */
GBytes *cft_body (const struct cft *cft);    /* borrowed; NULL: none */
void cft_dump (const struct cft *cft, JsonBuilder *json);
const char *cft_outcome_name (enum cft_outcome outcome);
const char *cft_source_name (enum cft_source source);

#endif
