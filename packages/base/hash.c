#include "base/hash.h"

/* Mixes the bits of X (one round of the splitmix64 finaliser).  */
guint64
hash_mix_bits (guint64 x)
{
  x ^= x >> 29;
  x *= G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  return x ^ (x >> 32);
}
