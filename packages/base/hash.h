/* Hash functions of numbers.  */
#ifndef HASH_H
#define HASH_H

#include <glib.h>

guint64 hash_mix_bits (guint64 x);

#endif
