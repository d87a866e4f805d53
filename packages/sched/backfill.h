/* Which queued requests may start before one that waits. Does no I/O.  */
#ifndef BACKFILL_H
#define BACKFILL_H

#include <glib.h>

/* The queued requests passed over so far, in the order of the queue.  */
struct backfill
{
  guint shortest; /* prompt length among them; G_MAXUINT: there are none */
};

void backfill_init (struct backfill *backfill);
void backfill_add_waiting (struct backfill *backfill, guint tokens);
gboolean backfill_allows (const struct backfill *backfill, guint tokens);

#endif
