/* The backend servers that the store's list names: which may be used, which
   are leaving, which are gone. What the list has once said of a server's leave
   holds until the server starts anew.  */
#ifndef FLT_H
#define FLT_H

#include "base/clock.h"
#include "base/err.h"
#include "base/str.h"
#include "policy/hea.h"

/* An entry of the list. */
struct flt_entry
{
  char id[STR_ID_MAX + 1];
  char service[STR_ID_MAX + 1];
  char address[ERR_PEER_MAX]; /* IP:PORT */
  char domain[STR_ID_MAX + 1];
  gint64 born;       /* the server's own start time, milliseconds; 0: unknown */
  guint slots;       /* requests at once */
  gint64 cold_until; /* slow until then, clock time; 0: warm */
  gboolean leaving;
};

/* X (NAME, "name") */
#define FLT_STATES(X)                                                          \
  X (READY, "ready")                                                           \
  X (LEAVING, "leaving") /* by its own word; gets nothing new */               \
  X (GONE, "gone")       /* no longer listed; gets nothing new */

enum flt_state
{
#define FLT_ENUM(id, name) FLT_##id,
  FLT_STATES (FLT_ENUM)
#undef FLT_ENUM
};

/* One life of a backend server. Counted references: requests keep a server
   that is gone until they end.  */
struct flt_server
{
  struct flt_entry entry;
  enum flt_state state;
  guint number;       /* of this life, unique in the process */
  gint64 since;       /* clock time at which it was first listed */
  gint64 missing;     /* clock time since which it is not listed; 0: it is */
  struct hea hea;     /* as seen by this instance */
  gint64 avoid_until; /* not to be used before, clock time; 0: now */
  guint unreachable;  /* attempts in a row that could not reach it */
  gint64 reached;     /* clock time at which it was last heard; 0: never */
  guint refs;
  void *owner_data; /* of the shell; borrowed */
};

enum flt_change_kind
{
  FLT_APPEARED,
  FLT_BEGAN_TO_LEAVE,
  FLT_VANISHED
};

struct flt_change
{
  enum flt_change_kind kind;
  struct flt_server *server;
};

struct flt;

typedef void (*flt_changed) (void *ctx, const struct flt_change *change);

struct flt *flt_new (flt_changed changed, void *ctx);
void flt_free (struct flt *flt);
void flt_store_failed (struct flt *flt, gint64 now);
void flt_list (struct flt *flt, const struct flt_entry *entries, guint n,
               gint64 now);
void flt_tick (struct flt *flt, gint64 now);
gboolean flt_is_known (const struct flt *flt);
/* The servers in the order of their ids, borrowed until the next change. */
struct flt_server *const *flt_servers (const struct flt *flt, guint *n);
struct flt_server *flt_find (const struct flt *flt, const char *id);
guint64 flt_digest (const struct flt *flt);
guint flt_generation (const struct flt *flt);
void flt_reached (struct flt_server *server, gint64 now);
void flt_unreachable (struct flt_server *server, gint64 now);
gboolean flt_is_unreachable (const struct flt_server *server, gint64 now);
void flt_told_unreachable (struct flt_server *server, gint64 now);
struct flt_server *flt_server_ref (struct flt_server *server);
void flt_server_unref (struct flt_server *server);
const char *flt_state_name (enum flt_state state);

#endif
