/* In-memory simulation of the platform's object API on a fake clock: versioned
   objects, conditional updates and long-polling watches. Requests are counted
   by operation.  */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "policy/event_queue.h"
#include "store/storage.h"

struct platform
{
  struct event_queue *events;
  GHashTable *objects;  /* name -> struct stored_object * */
  GPtrArray *watches;   /* waiting struct pending_request * */
  guint64 last_version; /* of the last update of any object */
  guint last_watch_id;
  gboolean down; /* answers every request with ERR_UNAVAILABLE */
  guint64 request_counts[STORAGE_WATCH + 1];
  guint64 put_bytes; /* bodies of successful conditional updates */
};

void platform_init (struct platform *platform, struct event_queue *queue);
void platform_clear (struct platform *platform);
/* Stores a new version of an object, unconditionally, and completes its
   watches. Takes a reference to BODY. */
void platform_put (struct platform *platform, const char *name, GBytes *body);
/* Starts REQUEST. DONE is called once, later. UNREACHABLE: the node cannot
   reach the platform, so the request fails with ERR_UNAVAILABLE. */
void platform_start_request (struct platform *platform,
                             const struct storage_request *request,
                             gboolean unreachable, storage_callback done,
                             void *ctx);
/* Sets the counts of requests and bytes to zero. */
void platform_reset_counts (struct platform *platform);

#endif
