/* Calls of one owner to objects of one kind in the store, one at a time, with
   pauses after failures.  */
#ifndef STORE_CALLER_H
#define STORE_CALLER_H

#include "base/clock.h"
#include "base/counter.h"
#include "store/storage.h"

struct object_client;

struct store_caller_options
{
  const char *address;   /* of the store, IP:PORT */
  const char *kind;      /* of the objects; static; NULL: jacinthward */
  const struct clk *clk; /* borrowed */
  struct counter_set *counter_set; /* borrowed */
};

struct store_caller
{
  struct store_caller_options options;
  struct object_client *client;
  gboolean busy;     /* a call is in progress */
  guint64 version;   /* of the owner's object; 0: there is none */
  gboolean is_known; /* VERSION is */
  guint failures;    /* in a row */
  gint64 not_before; /* clock time of the next call */
  gint64 started_at; /* clock time of the last call */
};

void store_caller_init (struct store_caller *caller,
                        const struct store_caller_options *options);
void store_caller_clear (struct store_caller *caller);
void store_caller_start (struct store_caller *caller, enum storage_op op,
                         const char *name, GBytes *body, storage_callback done,
                         void *ctx);
void store_caller_failed (struct store_caller *caller, const char *what,
                          const struct storage_response *response);
void store_caller_succeeded (struct store_caller *caller);
struct str store_caller_text (const struct storage_response *response);

#endif
