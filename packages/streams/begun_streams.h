/* At which version of the servers' software streams have begun, by the ids of
   the requests that brought their first events. Entries are kept for a time
   that is longer than any stream with all tries of its client. The text of
   entries goes to other instances, and into the store.  */
#ifndef BEGUN_STREAMS_H
#define BEGUN_STREAMS_H

#include "base/str.h"

/* Where a stream has begun. */
struct begun_place
{
  char service[STR_ID_MAX + 1];
  char version[STR_ID_MAX + 1]; /* "": not stated */
  gboolean is_ambiguous;        /* streams under this id have begun at several
                                   places; the members above are empty */
};

/* X (NAME): who has seen a stream begin */
#define BEGUN_SOURCES(X)                                                       \
  X (OWN)   /* this instance, now or before its last start */                  \
  X (TOLD)  /* another one, which has told this one, to save it */             \
  X (SAVED) /* read from the store, or an answer to a question */

enum begun_source
{
#define BEGUN_SOURCE_ENUM(id) BEGUN_##id,
  BEGUN_SOURCES (BEGUN_SOURCE_ENUM)
#undef BEGUN_SOURCE_ENUM
      BEGUN_SOURCES_N
};

struct begun_streams;

struct begun_streams *begun_streams_new (gint64 now);
void begun_streams_free (struct begun_streams *streams);
void begun_streams_keep_for (struct begun_streams *streams, gint64 us);
void begun_streams_expire (struct begun_streams *streams, gint64 now);
guint64 begun_streams_key (struct str id);
void begun_streams_add (struct begun_streams *streams, guint64 key,
                        const char *service, const char *version,
                        enum begun_source source);
const struct begun_place *
begun_streams_find (const struct begun_streams *streams, guint64 key);
void begun_streams_own_keys (const struct begun_streams *streams, GArray *keys);
GBytes *begun_streams_write (const struct begun_streams *streams);
GBytes *begun_streams_write_keys (const struct begun_streams *streams,
                                  const guint64 *keys, guint n);
int begun_streams_read (struct begun_streams *streams, struct str text,
                        enum begun_source source);

#endif
