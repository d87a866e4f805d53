#include "base/msgpack_check.h"

/* How the length field of a MessagePack format is to be read. */
enum format_kind
{
  FORMAT_BAD,
  FORMAT_BYTES, /* the length counts bytes */
  FORMAT_ITEMS, /* the length counts values */
  FORMAT_PAIRS  /* the length counts pairs of values */
};

static const struct
{
  guint8 kind;
  guint8 length_bytes; /* width of the length field */
  guint8 fixed;        /* bytes of the value besides those counted */
} formats[] = {
  /* from 0xc0 to 0xdf */
  { FORMAT_BYTES, 0, 0 },  { FORMAT_BAD, 0, 0 },   /* nil, (never used) */
  { FORMAT_BYTES, 0, 0 },  { FORMAT_BYTES, 0, 0 }, /* false, true */
  { FORMAT_BYTES, 1, 0 },  { FORMAT_BYTES, 2, 0 }, /* bin 8, 16 */
  { FORMAT_BYTES, 4, 0 },  { FORMAT_BYTES, 1, 1 }, /* bin 32, ext 8 */
  { FORMAT_BYTES, 2, 1 },  { FORMAT_BYTES, 4, 1 }, /* ext 16, 32 */
  { FORMAT_BYTES, 0, 4 },  { FORMAT_BYTES, 0, 8 }, /* float 32, 64 */
  { FORMAT_BYTES, 0, 1 },  { FORMAT_BYTES, 0, 2 }, /* uint 8, 16 */
  { FORMAT_BYTES, 0, 4 },  { FORMAT_BYTES, 0, 8 }, /* uint 32, 64 */
  { FORMAT_BYTES, 0, 1 },  { FORMAT_BYTES, 0, 2 }, /* int 8, 16 */
  { FORMAT_BYTES, 0, 4 },  { FORMAT_BYTES, 0, 8 }, /* int 32, 64 */
  { FORMAT_BYTES, 0, 2 },  { FORMAT_BYTES, 0, 3 }, /* fixext 1, 2 */
  { FORMAT_BYTES, 0, 5 },  { FORMAT_BYTES, 0, 9 }, /* fixext 4, 8 */
  { FORMAT_BYTES, 0, 17 }, { FORMAT_BYTES, 1, 0 }, /* fixext 16, str 8 */
  { FORMAT_BYTES, 2, 0 },  { FORMAT_BYTES, 4, 0 }, /* str 16, 32 */
  { FORMAT_ITEMS, 2, 0 },  { FORMAT_ITEMS, 4, 0 }, /* array 16, 32 */
  { FORMAT_PAIRS, 2, 0 },  { FORMAT_PAIRS, 4, 0 }, /* map 16, 32 */
};

/* What follows a value's header: bytes of the value and nested values. */
struct value_size
{
  guint64 bytes;
  guint64 items;
};

static gboolean
read_fixed_format (guint8 format, struct value_size *value)
{
  if (format >= 0xe0 || format < 0x80) /* fixint */
    return TRUE;
  if (format < 0x90)
    value->items = 2 * (guint64)(format & 0x0f); /* fixmap */
  else if (format < 0xa0)
    value->items = format & 0x0f; /* fixarray */
  else if (format < 0xc0)
    value->bytes = format & 0x1f; /* fixstr */
  else
    return FALSE;
  return TRUE;
}

/* Reads the header of the value at *OFFSET in DATA and advances *OFFSET past
   it. Returns FALSE if it is invalid or truncated.  */
static gboolean
read_header (struct str data, gsize *offset, struct value_size *value)
{
  guint8 format = (guint8)data.p[(*offset)++];
  value->bytes = value->items = 0;
  if (read_fixed_format (format, value))
    return TRUE;
  guint i = format - 0xc0U;
  if (formats[i].kind == FORMAT_BAD
      || data.n - *offset < formats[i].length_bytes)
    return FALSE;
  guint64 length = 0;
  for (guint b = 0; b < formats[i].length_bytes; b++)
    length = length << 8 | (guint8)data.p[(*offset)++];
  if (formats[i].kind == FORMAT_BYTES)
    value->bytes = length + formats[i].fixed;
  else
    value->items = formats[i].kind == FORMAT_PAIRS ? 2 * length : length;
  return TRUE;
}

/* Walks the headers without recursion. Each pending value needs at least one
   byte, so larger counts are rejected.  */
gsize
msgpack_check (struct str data)
{
  gsize offset = 0;
  guint64 count = 0;
  for (guint64 pending = 1; pending > 0; pending--)
    {
      struct value_size value;
      if (offset >= data.n || !read_header (data, &offset, &value))
        return 0;
      if (value.bytes > data.n - offset)
        return 0;
      offset += value.bytes;
      pending += value.items;
      count++;
      if (pending > data.n - offset + 1
          || count + pending > MSGPACK_CHECK_VALUES_MAX + 1)
        return 0;
    }
  return offset;
}
