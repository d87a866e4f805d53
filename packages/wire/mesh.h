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
#ifndef MESH_H
#define MESH_H

#include <gio/gio.h>

#include "base/counter.h"
#include "base/err.h"
#include "msg/msg.h"

#define MESH_FRAME_MAX (2 * 1024 * 1024) /* bytes of a frame's body */
#define MESH_QUEUE_MAX (8 * 1024 * 1024) /* bytes waiting for one peer */
#define MESH_PEERS_MAX 1024
#define MESH_KEY_BYTES_MIN 16 /* bytes of the shared key */
#define MESH_GIVE_UP_MS 600000

/* Appends the frame body of MSG to OUT. */
void mesh_encode (const struct msg *msg, GByteArray *out);
/* Reads one frame body. MSG borrows from DATA and from ARENA, which the
   caller frees by mesh_arena_free after use. Returns < 0 on bad input. */
struct mesh_arena;
struct mesh_arena *mesh_arena_new (void);
void mesh_arena_free (struct mesh_arena *arena);
int mesh_decode (struct str data, struct msg *msg, struct mesh_arena *arena,
                 struct err *err);

struct mesh;

struct mesh_options
{
  const char *listen; /* IP:PORT; port 0: chosen by the kernel */
  struct str key;     /* shared key, copied */
  struct str_id self;
  struct counter_set *counter_set; /* borrowed */
  guint handshake_ms;              /* longest handshake; 0: MESH_HANDSHAKE_MS */
  guint give_up_ms; /* before an address is dropped; 0: MESH_GIVE_UP_MS */
  const char *const *permanent; /* addresses dialled for ever, borrowed,
                              NULL-terminated; NULL: all */
  /* A whole message from the authenticated instance FROM. */
  void (*receive) (void *ctx, const char *from, const struct msg *msg);
  /* The first connection to instance ID stands; NULL: not told. */
  void (*connected) (void *ctx, const char *id);
  /* No connection to instance ID is left. Comes from the loop or from
     mesh_drop_address. */
  void (*disconnected) (void *ctx, const char *id);
  void *ctx;
};

/* Listens on the thread's default main context. */
int mesh_new (const struct mesh_options *options, struct mesh **mesh,
              struct err *err);
/* Closes all connections, without calling lost. Not from a callback. */
void mesh_free (struct mesh *mesh);
guint mesh_port (const struct mesh *mesh);
/* Keeps a connection to ADDRESS (IP:PORT) up; its instance's id is learnt in
   the handshake. Dialling twice does nothing. An address that is not in keep
   and stays unreachable for give_up_ms is dropped until it is dialled again. */
void mesh_dial (struct mesh *mesh, const char *address);
void mesh_drop_address (struct mesh *mesh, const char *address);
/* Queues MSG for instance TO; messages of one loop turn leave in one write.
   They go over the newest connection to TO and arrive in order unless it
   changes or is lost. Returns ERR_CLOSED if there is no connection, ERR_LIMIT
   if its queue is full, ERR_TOO_LARGE over MESH_FRAME_MAX. */
int mesh_send (struct mesh *mesh, const char *to, const struct msg *msg);
/* Sends to every connected instance. */
void mesh_broadcast (struct mesh *mesh, const struct msg *msg);
void mesh_dump (const struct mesh *mesh, JsonBuilder *json);

#endif
