/* TCP connections between instances. An instance listens for its peers and
   dials the addresses that it is given. Each frame is a 4-byte big-endian
   length and a body. A connection starts with a challenge-response handshake:
   each side proves by HMAC-SHA-256 that it has the shared key.

   Handshake frames; each body is one msgpack array of at most 256 bytes:
     both      HELLO ["jacinthward", version, id, nonce (16 bytes)]
     dialer    PROOF [proof (32 bytes)]
     listener  PROOF [proof (32 bytes)], only after the dialer's was verified
   Every later body is a sequence of messages [kind, fields...] and a 16-byte
   tag. The tag is the start of an HMAC over the frame number (8 bytes, from 0,
   not sent) and the messages, with a key derived for this connection and
   direction. Both sides are authenticated and every byte is protected against
   modification; nothing is encrypted.

   Not thread-safe: all calls and callbacks belong to the thread of one main
   loop.  */
#ifndef MESH_H
#define MESH_H

#include <gio/gio.h>

#include "base/counter.h"
#include "base/err.h"
#include "msg/msg.h"

#define MESH_FRAME_MAX (2 * 1024 * 1024) /* bytes of a frame body */
#define MESH_QUEUE_MAX (8 * 1024 * 1024) /* unsent bytes of a connection */
#define MESH_PEERS_MAX 1024              /* peers; also dialled addresses */
#define MESH_KEY_BYTES_MIN 16            /* of the shared key */
#define MESH_GIVE_UP_MS 600000           /* default of give_up_ms */

void mesh_encode (const struct msg *msg, GByteArray *out);
/* Memory that decoded messages borrow from; freed with mesh_arena_free. */
struct mesh_arena;
struct mesh_arena *mesh_arena_new (void);
void mesh_arena_free (struct mesh_arena *arena);
int mesh_decode (struct str data, struct msg *msg, struct mesh_arena *arena,
                 struct err *err);

struct mesh;

struct mesh_options
{
  const char *listen;              /* IP:PORT; port 0: assigned by the kernel */
  struct str key;                  /* shared key, copied */
  struct str_id self;              /* id of this instance */
  struct counter_set *counter_set; /* borrowed */
  guint handshake_ms;              /* time limit; 0: MESH_HANDSHAKE_MS */
  /* Time after which an unreachable address is dropped; 0: MESH_GIVE_UP_MS. */
  guint give_up_ms;
  /* Addresses that are never dropped, borrowed, NULL-terminated; NULL: all. */
  const char *const *permanent;
  /* A message arrived from the authenticated instance FROM. */
  void (*receive) (void *ctx, const char *from, const struct msg *msg);
  /* The first connection to instance ID is open. May be NULL. */
  void (*connected) (void *ctx, const char *id);
  /* The last connection to instance ID was closed. Called from the main loop or
     from mesh_drop_address. */
  void (*disconnected) (void *ctx, const char *id);
  void *ctx;
};

int mesh_new (const struct mesh_options *options, struct mesh **mesh,
              struct err *err);
void mesh_free (struct mesh *mesh);
guint mesh_port (const struct mesh *mesh);
void mesh_dial (struct mesh *mesh, const char *address);
void mesh_drop_address (struct mesh *mesh, const char *address);
int mesh_send (struct mesh *mesh, const char *to, const struct msg *msg);
void mesh_broadcast (struct mesh *mesh, const struct msg *msg);
void mesh_dump (const struct mesh *mesh, JsonBuilder *json);

#endif
