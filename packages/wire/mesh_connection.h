/* One connection between two instances: handshake, frames, bounded queue.
   wir.c owns the connections and hears of them by the hooks.  */
#ifndef MESH_CONNECTION_H
#define MESH_CONNECTION_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>

#include "base/counter.h"
#include "base/err.h"
#include "wire/mesh_auth.h"

#define MESH_BATCH_BYTES_MAX                                                   \
  65536                           /* bytes of messages sealed into one frame   \
                                   */
#define MESH_HANDSHAKE_MS 5000    /* for connecting and the handshake */
#define MESH_USER_TIMEOUT_MS 6000 /* unacknowledged bytes end a connection */

struct mesh_conn;

/* Shared by all connections of one wir; none may call into the loop. */
struct mesh_conn_hooks
{
  struct str key; /* borrowed */
  struct str_id self;
  guint handshake_ms;
  struct counter_set *counter_set; /* borrowed */
  /* The peer proved the key. Returns < 0 to turn it away. */
  int (*opened) (void *ctx, struct mesh_conn *conn, struct err *err);
  /* One message, not yet decoded. */
  void (*message) (void *ctx, struct mesh_conn *conn, struct str body);
  /* Messages wait for mesh_conn_flush; once until it is called. */
  void (*queued) (void *ctx, struct mesh_conn *conn);
  /* Closed, for whatever reason; the hook gives up its reference. */
  void (*closed) (void *ctx, struct mesh_conn *conn, gboolean was_open);
  void *ctx;
};

struct mesh_conn *mesh_conn_accept (const struct mesh_conn_hooks *hooks,
                                    GSocket *socket);
struct mesh_conn *mesh_conn_dial (const struct mesh_conn_hooks *hooks,
                                  const char *address, GSocketAddress *to,
                                  struct err *err);
struct mesh_conn *mesh_conn_ref (struct mesh_conn *conn);
void mesh_conn_unref (struct mesh_conn *conn);
void mesh_conn_close (struct mesh_conn *conn, const char *reason);
int mesh_conn_queue (struct mesh_conn *conn, struct str message);
void mesh_conn_flush (struct mesh_conn *conn);
gboolean mesh_conn_is_open (const struct mesh_conn *conn);
const char *mesh_conn_peer_name (const struct mesh_conn *conn);
void mesh_conn_dump (const struct mesh_conn *conn, JsonBuilder *json);

#endif
