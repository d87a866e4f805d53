#include "usage/usage_message.h"

#include <msgpack.h>
#include <string.h>

#include "base/msgpack_check.h"

#define COUNTS_FIELDS 11
#define HELD_FIELDS 4
#define FIXARRAY 0x90 /* msgpack: an array of up to 15 elements */

void
usage_message_init (struct usage_message *message)
{
  *message = (struct usage_message){ 0 };
  message->names
      = g_array_new (FALSE, FALSE, sizeof (struct usage_message_name));
  message->counts
      = g_array_new (FALSE, FALSE, sizeof (struct usage_message_count));
  message->totals
      = g_array_new (FALSE, FALSE, sizeof (struct usage_message_total));
}

void
usage_message_clear (struct usage_message *message)
{
  g_array_unref (message->names);
  g_array_unref (message->counts);
  g_array_unref (message->totals);
}

/* Makes a message empty.  */
void
usage_message_reset (struct usage_message *message,
                     enum usage_message_kind kind)
{
  message->kind = kind;
  message->incarnation = 0;
  message->since = message->through = message->first_window = 0;
  message->complete = message->time = 0;
  g_array_set_size (message->names, 0);
  g_array_set_size (message->counts, 0);
  g_array_set_size (message->totals, 0);
}

/* Returns whether a datagram is a message about usage, by its first element. It
   may still be malformed.  */
gboolean
usage_message_is (struct str bytes)
{
  return bytes.n > 2 && ((guint8)bytes.p[0] & 0xf0) == FIXARRAY
         && (bytes.p[1] == USAGE_MESSAGE_COUNTS
             || bytes.p[1] == USAGE_MESSAGE_HELD);
}

static int
append (void *data, const char *bytes, size_t n)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)n);
  return 0;
}

/* Packs windows as differences to the sender's first one or, if there are
   counts, to the lowest of these.  */
static guint64
lowest_window (const struct usage_message *message)
{
  guint64 lowest = G_MAXUINT64;
  for (guint i = 0; i < message->counts->len; i++)
    lowest = MIN (
        lowest,
        g_array_index (message->counts, struct usage_message_count, i).window);
  return lowest == G_MAXUINT64 ? message->first_window : lowest;
}

static void
pack_lists (msgpack_packer *pk, const struct usage_message *message,
            guint64 base)
{
  msgpack_pack_array (pk, 2 * (size_t)message->names->len);
  for (guint i = 0; i < message->names->len; i++)
    {
      const struct usage_message_name *name
          = &g_array_index (message->names, struct usage_message_name, i);
      size_t n = strlen (name->text);
      msgpack_pack_uint32 (pk, name->number);
      msgpack_pack_str (pk, n);
      msgpack_pack_str_body (pk, name->text, n);
    }
  msgpack_pack_array (pk, 6 * (size_t)message->totals->len);
  for (guint i = 0; i < message->totals->len; i++)
    {
      const struct usage_message_total *total
          = &g_array_index (message->totals, struct usage_message_total, i);
      msgpack_pack_uint32 (pk, total->service);
      msgpack_pack_uint32 (pk, total->domain);
      msgpack_pack_uint64 (pk, total->requests);
      msgpack_pack_uint64 (pk, total->uncached_tokens);
      msgpack_pack_uint64 (pk, total->output_tokens);
      msgpack_pack_uint64 (pk, total->rejections);
    }
  msgpack_pack_array (pk, 3 * (size_t)message->counts->len);
  for (guint i = 0; i < message->counts->len; i++)
    {
      const struct usage_message_count *count
          = &g_array_index (message->counts, struct usage_message_count, i);
      msgpack_pack_uint32 (pk, count->team);
      msgpack_pack_uint64 (pk, count->window - base);
      msgpack_pack_uint64 (pk, count->requests);
    }
}

/* Appends a message to OUT as one msgpack array.  */
void
usage_message_encode (const struct usage_message *message, GByteArray *out)
{
  msgpack_packer pk;
  gboolean is_held = message->kind == USAGE_MESSAGE_HELD;
  msgpack_packer_init (&pk, out, append);
  msgpack_pack_array (&pk, is_held ? HELD_FIELDS : COUNTS_FIELDS);
  msgpack_pack_unsigned_int (&pk, message->kind);
  msgpack_pack_uint32 (&pk, message->incarnation);
  msgpack_pack_uint64 (&pk, message->through);
  msgpack_pack_uint64 (&pk, (guint64)message->time);
  if (is_held)
    return;
  guint64 base = lowest_window (message);
  msgpack_pack_uint64 (&pk, message->since);
  msgpack_pack_uint64 (&pk, message->first_window);
  msgpack_pack_uint64 (&pk, (guint64)message->complete);
  msgpack_pack_uint64 (&pk, base);
  pack_lists (&pk, message, base);
}

/* Reads the fields of an array in order. BAD is set by the first invalid field
   and stays set; fields read after it have no meaning.  */
struct cursor
{
  const msgpack_object *next;
  guint left;
  gboolean bad;
};

static const msgpack_object *
next_field (struct cursor *c)
{
  static const msgpack_object nil = { .type = MSGPACK_OBJECT_NIL };
  if (c->left == 0)
    {
      c->bad = TRUE;
      return &nil;
    }
  c->left--;
  return c->next++;
}

static guint64
read_number (struct cursor *c, guint64 max)
{
  const msgpack_object *o = next_field (c);
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
    {
      c->bad = TRUE;
      return 0;
    }
  return o->via.u64;
}

static struct cursor
read_array (struct cursor *c, guint width, guint max)
{
  const msgpack_object *o = next_field (c);
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > width * max
      || o->via.array.size % width != 0)
    {
      c->bad = TRUE;
      return (struct cursor){ 0 };
    }
  return (struct cursor){ o->via.array.ptr, o->via.array.size, FALSE };
}

static void
read_names (struct cursor *c, GArray *names)
{
  struct cursor list = read_array (c, 2, USAGE_MESSAGE_NAMES_MAX);
  while (!list.bad && list.left > 0)
    {
      struct usage_message_name name
          = { .number = (guint32)read_number (&list, G_MAXUINT32) };
      const msgpack_object *o = next_field (&list);
      list.bad |= o->type != MSGPACK_OBJECT_STR
                  || o->via.str.size > USAGE_MESSAGE_NAME_MAX;
      if (list.bad)
        break;
      memcpy (name.text, o->via.str.ptr, o->via.str.size);
      name.text[o->via.str.size] = '\0';
      g_array_append_val (names, name);
    }
  c->bad |= list.bad;
}

static void
read_totals (struct cursor *c, GArray *totals)
{
  struct cursor list = read_array (c, 6, USAGE_MESSAGE_TOTALS_MAX);
  while (!list.bad && list.left > 0)
    {
      struct usage_message_total total;
      total.service = (guint32)read_number (&list, G_MAXUINT32);
      total.domain = (guint32)read_number (&list, G_MAXUINT32);
      total.requests = read_number (&list, G_MAXUINT64);
      total.uncached_tokens = read_number (&list, G_MAXUINT64);
      total.output_tokens = read_number (&list, G_MAXUINT64);
      total.rejections = read_number (&list, G_MAXUINT64);
      g_array_append_val (totals, total);
    }
  c->bad |= list.bad;
}

static void
read_counts (struct cursor *c, guint64 base, GArray *counts)
{
  struct cursor list = read_array (c, 3, USAGE_MESSAGE_COUNTS_MAX);
  while (!list.bad && list.left > 0)
    {
      struct usage_message_count count;
      count.team = (guint32)read_number (&list, G_MAXUINT32);
      count.window = base + read_number (&list, G_MAXUINT32);
      count.requests = read_number (&list, G_MAXUINT32);
      g_array_append_val (counts, count);
    }
  c->bad |= list.bad;
}

static gboolean
read_message (const msgpack_object *root, struct usage_message *message)
{
  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < HELD_FIELDS)
    return FALSE;
  struct cursor c = { root->via.array.ptr, root->via.array.size, FALSE };
  guint64 kind = read_number (&c, G_MAXUINT8);
  if (kind != USAGE_MESSAGE_COUNTS && kind != USAGE_MESSAGE_HELD)
    return FALSE;
  usage_message_reset (message, (enum usage_message_kind)kind);
  message->incarnation = (guint32)read_number (&c, G_MAXUINT32);
  message->through = read_number (&c, G_MAXUINT64);
  message->time = (gint64)read_number (&c, G_MAXINT64);
  if (kind == USAGE_MESSAGE_HELD)
    return !c.bad;
  message->since = read_number (&c, message->through);
  message->first_window = read_number (&c, G_MAXINT64);
  message->complete = (gint64)read_number (&c, G_MAXINT64);
  guint64 base = read_number (&c, G_MAXINT64);
  read_names (&c, message->names);
  read_totals (&c, message->totals);
  read_counts (&c, base, message->counts);
  return !c.bad;
}

/* Decodes one message, which must fill BYTES. Returns 0 or ERR_PROTOCOL; on an
   error the contents of the message are undefined.  */
int
usage_message_decode (struct str bytes, struct usage_message *message,
                      struct err *err)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  msgpack_unpacked_init (&unpacked);
  gboolean ok = bytes.n <= USAGE_MESSAGE_BYTES_MAX
                && msgpack_check (bytes) == bytes.n
                && msgpack_unpack_next (&unpacked, bytes.p, bytes.n, &at)
                       == MSGPACK_UNPACK_SUCCESS
                && at == bytes.n && read_message (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    return err_set (err, ERR_PROTOCOL, "usage.decode", "",
                    "malformed message about usage");
  return 0;
}
