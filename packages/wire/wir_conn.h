/* One connection between two instances: handshake, frames, bounded queue.
   wir.c owns the connections and hears of them by the hooks.  */
#ifndef WIR_CONN_H
#define WIR_CONN_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>

#include "base/counter.h"
#include "base/err.h"
#include "wire/wir_auth.h"

#define WIR_BATCH_MAX 65536      /* bytes of messages sealed into one frame */
#define WIR_HANDSHAKE_MS 5000    /* for connecting and the handshake */
#define WIR_USER_TIMEOUT_MS 6000 /* unacknowledged bytes end a connection */

struct wir_conn;

/* Shared by all connections of one wir; none may call into the loop. */
struct wir_conn_hooks
{
  struct str key; /* borrowed */
  struct str_id self;
  guint handshake_ms;
  struct counter_set *counter_set; /* borrowed */
  /* The peer proved the key. Returns < 0 to turn it away. */
  int (*opened) (void *ctx, struct wir_conn *conn, struct err *err);
  /* One message, not yet decoded. */
  void (*message) (void *ctx, struct wir_conn *conn, struct str body);
  /* Messages wait for wir_conn_flush; once until it is called. */
  void (*queued) (void *ctx, struct wir_conn *conn);
  /* Closed, for whatever reason; the hook gives up its reference. */
  void (*closed) (void *ctx, struct wir_conn *conn, gboolean was_open);
  void *ctx;
};

struct wir_conn *wir_conn_accept (const struct wir_conn_hooks *hooks,
                                  GSocket *socket);
struct wir_conn *wir_conn_dial (const struct wir_conn_hooks *hooks,
                                const char *address, GSocketAddress *to,
                                struct err *err);
struct wir_conn *wir_conn_ref (struct wir_conn *conn);
void wir_conn_unref (struct wir_conn *conn);
void wir_conn_close (struct wir_conn *conn, const char *reason);
int wir_conn_queue (struct wir_conn *conn, struct str message);
void wir_conn_flush (struct wir_conn *conn);
gboolean wir_conn_is_open (const struct wir_conn *conn);
const char *wir_conn_peer (const struct wir_conn *conn);
void wir_conn_dump (const struct wir_conn *conn, JsonBuilder *json);

#endif
