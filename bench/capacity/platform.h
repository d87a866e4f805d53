/* The platform's object API in memory, on the fake clock: versions,
   conditional updates and waiting watches, counted by kind.  */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "policy/event_queue.h"
#include "store/storage.h"

struct platform
{
  struct event_queue *events;
  GHashTable *objects;  /* name -> struct object * */
  GPtrArray *watches;   /* struct visit * that wait */
  guint64 last_version; /* version */
  guint last_watch_id;
  gboolean down; /* refuses every call */
  guint64 request_counts[STORAGE_WATCH + 1];
  guint64 put_bytes;
};

void platform_init (struct platform *platform, struct event_queue *queue);
void platform_clear (struct platform *platform);
void platform_put (struct platform *platform, const char *name, GBytes *body);
/* Starts CALL; DONE comes later, once. A SEVERED caller cannot reach it. */
void platform_start_request (struct platform *platform,
                             const struct storage_request *request,
                             gboolean unreachable, storage_callback done,
                             void *ctx);
void platform_reset_counts (struct platform *platform);

#endif
