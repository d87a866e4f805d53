#include "wire/mesh_auth.h"
#include "base/err.h"

#include <string.h>
#include <sys/random.h>

#define PROOF_LABEL "jacinthward proof 1"
#define FRAME_LABEL "jacinthward frame 1"
#define DIGEST_BYTES 32 /* of SHA-256 */

/* Fills NONCE from the kernel's random source. Returns 0 or ERR_IO.  */
int
mesh_fill_nonce (guint8 nonce[MESH_NONCE_BYTES])
{
  ssize_t n = getrandom (nonce, MESH_NONCE_BYTES, 0);
  return n == MESH_NONCE_BYTES ? 0 : ERR_IO;
}

/* Sets DIGEST to the HMAC of LABEL, ROLE and both HELLOs, which binds it to
   this connection. All inputs but the constant label have a fixed size, so
   different inputs never give the same bytes.  */
static void
handshake_hmac (struct str key, struct str label, enum mesh_role role,
                const struct mesh_hello hellos[MESH_ROLE_N],
                guint8 digest[DIGEST_BYTES])
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key.p, key.n);
  guint8 role_byte = (guint8)role;
  gsize n = DIGEST_BYTES;
  g_hmac_update (hmac, (const guchar *)label.p, (gssize)label.n);
  g_hmac_update (hmac, &role_byte, 1);
  for (int i = 0; i < MESH_ROLE_N; i++)
    {
      g_hmac_update (hmac, (const guchar *)hellos[i].id.s,
                     sizeof hellos[i].id.s);
      g_hmac_update (hmac, hellos[i].nonce, MESH_NONCE_BYTES);
    }
  g_hmac_get_digest (hmac, digest, &n);
  g_hmac_unref (hmac);
}

/* Computes the proof that PROVER has KEY, for the connection of HELLOS.  */
void
mesh_make_proof (struct str key, enum mesh_role prover,
                 const struct mesh_hello hellos[MESH_ROLE_N],
                 guint8 proof[MESH_PROOF_BYTES])
{
  handshake_hmac (key, STR_LIT (PROOF_LABEL), prover, hellos, proof);
}

/* Returns the key for the frames that SENDER sends on the connection of HELLOS;
   to be freed with g_hmac_unref.  */
GHmac *
mesh_frame_key (struct str key, enum mesh_role sender,
                const struct mesh_hello hellos[MESH_ROLE_N])
{
  guint8 digest[DIGEST_BYTES];
  handshake_hmac (key, STR_LIT (FRAME_LABEL), sender, hellos, digest);
  return g_hmac_new (G_CHECKSUM_SHA256, digest, sizeof digest);
}

/* Computes the tag of frame FRAME_NUMBER, from 0, with the messages BODY.  */
void
mesh_frame_tag (const GHmac *frame_key, guint64 frame_number, struct str body,
                guint8 tag[MESH_TAG_BYTES])
{
  GHmac *hmac = g_hmac_copy (frame_key);
  guint64 number_be = GUINT64_TO_BE (frame_number);
  guint8 digest[DIGEST_BYTES];
  gsize n = sizeof digest;
  g_hmac_update (hmac, (const guchar *)&number_be, sizeof number_be);
  g_hmac_update (hmac, (const guchar *)body.p, (gssize)body.n);
  g_hmac_get_digest (hmac, digest, &n);
  g_hmac_unref (hmac);
  memcpy (tag, digest, MESH_TAG_BYTES);
}

/* Compares N bytes in constant time, so that the timing of a rejection does not
   reveal how many bytes of a forged proof or tag are right.  */
gboolean
mesh_equal_constant_time (const guint8 *a, const guint8 *b, gsize n)
{
  volatile guint8 difference = 0;
  for (gsize i = 0; i < n; i++)
    difference = difference | (a[i] ^ b[i]);
  return difference == 0;
}
