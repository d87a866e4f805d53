#include "base/msgpack_check.h"

/* Heads of msgpack values from 0xc0 to 0xdf. The library takes memory by the
   count a head claims, so the counts are checked here first.  */
enum head_kind
{
  HEAD_BAD,
  HEAD_BYTES, /* the size counts bytes */
  HEAD_ITEMS, /* the size counts values */
  HEAD_PAIRS  /* the size counts pairs of values */
};

static const struct
{
  guint8 kind;
  guint8 size_bytes; /* length of the size that follows the head */
  guint8 fixed;      /* further bytes */
} heads[] = {
  { HEAD_BYTES, 0, 0 },  { HEAD_BAD, 0, 0 },   /* nil, never used */
  { HEAD_BYTES, 0, 0 },  { HEAD_BYTES, 0, 0 }, /* false, true */
  { HEAD_BYTES, 1, 0 },  { HEAD_BYTES, 2, 0 }, /* bin 8, 16 */
  { HEAD_BYTES, 4, 0 },  { HEAD_BYTES, 1, 1 }, /* bin 32, ext 8 */
  { HEAD_BYTES, 2, 1 },  { HEAD_BYTES, 4, 1 }, /* ext 16, 32 */
  { HEAD_BYTES, 0, 4 },  { HEAD_BYTES, 0, 8 }, /* float 32, 64 */
  { HEAD_BYTES, 0, 1 },  { HEAD_BYTES, 0, 2 }, /* uint 8, 16 */
  { HEAD_BYTES, 0, 4 },  { HEAD_BYTES, 0, 8 }, /* uint 32, 64 */
  { HEAD_BYTES, 0, 1 },  { HEAD_BYTES, 0, 2 }, /* int 8, 16 */
  { HEAD_BYTES, 0, 4 },  { HEAD_BYTES, 0, 8 }, /* int 32, 64 */
  { HEAD_BYTES, 0, 2 },  { HEAD_BYTES, 0, 3 }, /* fixext 1, 2 */
  { HEAD_BYTES, 0, 5 },  { HEAD_BYTES, 0, 9 }, /* fixext 4, 8 */
  { HEAD_BYTES, 0, 17 }, { HEAD_BYTES, 1, 0 }, /* fixext 16, str 8 */
  { HEAD_BYTES, 2, 0 },  { HEAD_BYTES, 4, 0 }, /* str 16, 32 */
  { HEAD_ITEMS, 2, 0 },  { HEAD_ITEMS, 4, 0 }, /* array 16, 32 */
  { HEAD_PAIRS, 2, 0 },  { HEAD_PAIRS, 4, 0 }, /* map 16, 32 */
};

/* One value's head: the bytes after it and the values within it. */
struct value
{
  guint64 bytes;
  guint64 items;
};

static gboolean
read_fixed_head (guint8 head, struct value *value)
{
  if (head >= 0xe0 || head < 0x80) /* small integers */
    return TRUE;
  if (head < 0x90)
    value->items = 2 * (guint64)(head & 0x0f);
  else if (head < 0xa0)
    value->items = head & 0x0f;
  else if (head < 0xc0)
    value->bytes = head & 0x1f;
  else
    return FALSE;
  return TRUE;
}

/* Reads the head at AT of DATA and moves AT behind it. Returns FALSE if it is
   invalid or cut off.  */
static gboolean
read_head (struct str data, gsize *at, struct value *value)
{
  guint8 head = (guint8)data.p[(*at)++];
  value->bytes = value->items = 0;
  if (read_fixed_head (head, value))
    return TRUE;
  guint i = head - 0xc0U;
  if (heads[i].kind == HEAD_BAD || data.n - *at < heads[i].size_bytes)
    return FALSE;
  guint64 size = 0;
  for (guint b = 0; b < heads[i].size_bytes; b++)
    size = size << 8 | (guint8)data.p[(*at)++];
  if (heads[i].kind == HEAD_BYTES)
    value->bytes = size + heads[i].fixed;
  else
    value->items = heads[i].kind == HEAD_PAIRS ? 2 * size : size;
  return TRUE;
}

gsize
msgpack_check (struct str data)
{
  gsize at = 0;
  guint64 seen = 0;
  for (guint64 due = 1; due > 0; due--)
    {
      struct value value;
      if (at >= data.n || !read_head (data, &at, &value))
        return 0;
      if (value.bytes > data.n - at)
        return 0;
      at += value.bytes;
      due += value.items;
      seen++;
      if (due > data.n - at + 1 || seen + due > MSGPACK_CHECK_VALUES_MAX + 1)
        return 0;
    }
  return at;
}
