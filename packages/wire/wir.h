/* Connections between instances: TCP, frames of a 4-byte big-endian length
   and a body, opened by a challenge with HMAC-SHA-256 over the shared key.

   Handshake, each frame's body one msgpack array of at most 256 bytes:
     both      ["jacinthward", version, id, nonce (16 bytes)]
     dialer    [proof (32 bytes)]
     listener  [proof (32 bytes)], only after the dialer's is right
   Then each body is a run of messages [kind, fields...] and a 16-byte tag: the
   head of an HMAC over the frame's number (8 bytes, from 0, not sent) and the
   messages, under a key of this connection and direction. Both are proved and
   every byte is protected from change; nothing is encrypted.

   One loop, one thread.  */
#ifndef WIR_H
#define WIR_H

#include <gio/gio.h>

#include "base/counter.h"
#include "base/err.h"
#include "msg/msg.h"

#define WIR_FRAME_MAX (2 * 1024 * 1024) /* bytes of a frame's body */
#define WIR_QUEUE_MAX (8 * 1024 * 1024) /* bytes waiting for one peer */
#define WIR_PEERS_MAX 1024
#define WIR_KEY_MIN 16 /* bytes of the shared key */
#define WIR_GIVE_UP_MS 600000

/* Appends the frame body of MSG to OUT. */
void wir_encode (const struct msg *msg, GByteArray *out);
/* Reads one frame body. MSG borrows from DATA and from ARENA, which the
   caller frees by wir_arena_free after use. Returns < 0 on bad input. */
struct wir_arena;
struct wir_arena *wir_arena_new (void);
void wir_arena_free (struct wir_arena *arena);
int wir_decode (struct str data, struct msg *msg, struct wir_arena *arena,
                struct err *err);

struct wir;

struct wir_options
{
  const char *listen; /* IP:PORT; port 0: chosen by the kernel */
  struct str key;     /* shared key, copied */
  struct str_id self;
  struct counter_set *counter_set; /* borrowed */
  guint handshake_ms;              /* longest handshake; 0: WIR_HANDSHAKE_MS */
  guint give_up_ms;        /* before an address is dropped; 0: WIR_GIVE_UP_MS */
  const char *const *keep; /* addresses dialled for ever, borrowed,
                              NULL-terminated; NULL: all */
  /* A whole message from the authenticated instance FROM. */
  void (*receive) (void *ctx, const char *from, const struct msg *msg);
  /* The first connection to instance ID stands; NULL: not told. */
  void (*up) (void *ctx, const char *id);
  /* No connection to instance ID is left. Comes from the loop or from
     wir_hang_up. */
  void (*lost) (void *ctx, const char *id);
  void *ctx;
};

/* Listens on the thread's default main context. */
int wir_new (const struct wir_options *options, struct wir **wir,
             struct err *err);
/* Closes all connections, without calling lost. Not from a callback. */
void wir_free (struct wir *wir);
guint wir_port (const struct wir *wir);
/* Keeps a connection to ADDRESS (IP:PORT) up; its instance's id is learnt in
   the handshake. Dialling twice does nothing. An address that is not in keep
   and stays unreachable for give_up_ms is dropped until it is dialled again. */
void wir_dial (struct wir *wir, const char *address);
void wir_hang_up (struct wir *wir, const char *address);
/* Queues MSG for instance TO; messages of one loop turn leave in one write.
   They go over the newest connection to TO and arrive in order unless it
   changes or is lost. Returns ERR_CLOSED if there is no connection, ERR_LIMIT
   if its queue is full, ERR_TOO_LARGE over WIR_FRAME_MAX. */
int wir_send (struct wir *wir, const char *to, const struct msg *msg);
/* Sends to every connected instance. */
void wir_broadcast (struct wir *wir, const struct msg *msg);
void wir_dump (const struct wir *wir, JsonBuilder *json);

#endif
