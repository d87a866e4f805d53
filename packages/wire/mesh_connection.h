/* One connection between two instances: handshake, frames and a bounded send
   queue. mesh.c owns the connections and is notified through the hooks.  */
#ifndef MESH_CONNECTION_H
#define MESH_CONNECTION_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>

#include "base/counter.h"
#include "base/err.h"
#include "wire/mesh_auth.h"

/* A message that would make a frame larger than this starts a new one. */
#define MESH_BATCH_BYTES_MAX 65536
#define MESH_HANDSHAKE_MS 5000 /* for connecting and the handshake */
/* TCP_USER_TIMEOUT: a connection whose bytes stay unacknowledged so long is
   closed by the kernel. */
#define MESH_USER_TIMEOUT_MS 6000

struct mesh_conn;

/* Shared by all connections of a mesh. The callbacks must not run the main
   loop. */
struct mesh_conn_hooks
{
  struct str key;     /* borrowed */
  struct str_id self; /* id of this instance */
  guint handshake_ms;
  struct counter_set *counter_set; /* borrowed */
  /* The peer is authenticated. Returns < 0 to reject it. */
  int (*opened) (void *ctx, struct mesh_conn *conn, struct err *err);
  /* A message arrived; BODY is not decoded yet. */
  void (*message) (void *ctx, struct mesh_conn *conn, struct str body);
  /* Messages are queued; CONN needs a mesh_conn_flush. Called once until
     then. */
  void (*queued) (void *ctx, struct mesh_conn *conn);
  /* CONN was closed, for whatever reason; the hook drops its reference. */
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
