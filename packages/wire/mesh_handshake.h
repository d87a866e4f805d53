/* Encoding of the HELLO and PROOF frames of the handshake.  */
#ifndef MESH_HANDSHAKE_H
#define MESH_HANDSHAKE_H

#include "base/err.h"
#include "wire/mesh_auth.h"

#define MESH_PROTOCOL_VERSION 1
#define MESH_HANDSHAKE_FRAME_MAX 256 /* bytes of a frame body */

void mesh_encode_hello (const struct mesh_hello *hello, GByteArray *out);
int mesh_decode_hello (struct str data, struct mesh_hello *hello,
                       struct err *err);
void mesh_encode_proof (const guint8 proof[MESH_PROOF_BYTES], GByteArray *out);
int mesh_decode_proof (struct str data, guint8 proof[MESH_PROOF_BYTES],
                       struct err *err);

#endif
