/* Authentication of peers and frames by HMAC-SHA-256 with the shared key.  */
#ifndef MESH_AUTH_H
#define MESH_AUTH_H

#include "base/str.h"

#define MESH_NONCE_BYTES 16
#define MESH_PROOF_BYTES 32
#define MESH_TAG_BYTES 16 /* the first bytes of the 32 of the HMAC */

enum mesh_role
{
  MESH_DIALER,
  MESH_LISTENER,
  MESH_ROLE_N
};

/* Content of the HELLO frame. */
struct mesh_hello
{
  struct str_id id;
  guint8 nonce[MESH_NONCE_BYTES];
};

int mesh_fill_nonce (guint8 nonce[MESH_NONCE_BYTES]);
void mesh_make_proof (struct str key, enum mesh_role prover,
                      const struct mesh_hello hellos[MESH_ROLE_N],
                      guint8 proof[MESH_PROOF_BYTES]);
GHmac *mesh_frame_key (struct str key, enum mesh_role sender,
                       const struct mesh_hello hellos[MESH_ROLE_N]);
void mesh_frame_tag (const GHmac *frame_key, guint64 frame_number,
                     struct str body, guint8 tag[MESH_TAG_BYTES]);
gboolean mesh_equal_constant_time (const guint8 *a, const guint8 *b, gsize n);

#endif
