/* Answers at which version of the servers' software a stream may begin, and at
   which one a stream that is resumed has begun: from the table of versions,
   from what this instance has seen, from its peers, and from what all instances
   have saved, in this order. Does no I/O.  */
#ifndef STREAM_VERSIONS_H
#define STREAM_VERSIONS_H

#include "streams/begun_streams.h"
#include "streams/version_table.h"

/* X (NAME, "name") */
#define STREAM_SEARCH_RESULTS(X)                                               \
  X (FOUND, "found")                                                           \
  X (ABSENT, "absent")       /* nobody knows it */                             \
  X (SEARCHING, "searching") /* ask again after a change */

enum stream_search_result
{
#define STREAM_SEARCH_ENUM(id, name) STREAM_SEARCH_##id,
  STREAM_SEARCH_RESULTS (STREAM_SEARCH_ENUM)
#undef STREAM_SEARCH_ENUM
};

struct stream_versions_options
{
  /* Asks peers where the stream with KEY has begun. Returns how many of them
     will answer. NULL: there are none. */
  guint (*ask_peers) (void *ctx, guint64 key);
  /* Reads soon what all instances have saved. NULL: nothing is saved. */
  void (*read_saved) (void *ctx);
  /* This instance has seen the stream with KEY begin. NULL: not wanted. */
  void (*began) (void *ctx, guint64 key);
  /* Finds out soon whether the table is the newest one, and says so by
     stream_versions_confirmed. NULL: it always is. */
  void (*confirm_table) (void *ctx);
  /* Searches may have ended. NULL: not wanted. */
  void (*changed) (void *ctx);
  void *ctx;
};

struct stream_versions;

struct stream_versions *
stream_versions_new (const struct stream_versions_options *options, gint64 now);
void stream_versions_free (struct stream_versions *versions);
struct version_table *stream_versions_table (struct stream_versions *versions);
struct begun_streams *stream_versions_begun (struct stream_versions *versions);
void stream_versions_expire (struct stream_versions *versions, gint64 now);
enum version_rule
stream_versions_may_begin (const struct stream_versions *versions,
                           const char *service, gint64 now,
                           const char **version);
void stream_versions_confirmed (struct stream_versions *versions, gint64 at);
void stream_versions_record (struct stream_versions *versions, struct str id,
                             const char *service, const char *version);
enum stream_search_result
stream_versions_find (struct stream_versions *versions, struct str id,
                      const char *service, gint64 now, const char **version);
void stream_versions_peer_answered (struct stream_versions *versions,
                                    guint64 key,
                                    const struct begun_place *place);
void stream_versions_saved_read (struct stream_versions *versions,
                                 gint64 began_at);
void stream_versions_saved_failed (struct stream_versions *versions);

#endif
