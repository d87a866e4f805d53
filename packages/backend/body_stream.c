#include "backend/body_stream.h"

struct body_stream
{
  GMemoryInputStream parent;
  gint64 send_by_us; /* monotonic */
  gboolean begun;    /* the first read has finished in time */
};

static GInputStreamClass *parent_class;

static GQuark
late_quark (void)
{
  return g_quark_from_static_string ("jacinthward-body-late");
}

/* Whether ERROR is that of a body that was not sent in time.  */
gboolean
body_stream_is_late (const GError *error)
{
  return error != NULL && error->domain == late_quark ();
}

/* Finishes an asynchronous read. GOutputStream writes the bytes in the same
   callback, so that the first of them is checked right before it is written.
   Later ones are not: sending a large body may take longer than the limit.  */
static gssize
read_finish (GInputStream *stream, GAsyncResult *result, GError **error)
{
  struct body_stream *body = (struct body_stream *)(void *)stream;
  gssize n = parent_class->read_finish (stream, result, error);
  if (n < 0 || body->begun)
    return n;
  if (g_get_monotonic_time () > body->send_by_us)
    {
      g_set_error_literal (error, late_quark (), 0,
                           "not sent within the time limit");
      return -1;
    }
  body->begun = TRUE;
  return n;
}

static void
class_init (gpointer class, gpointer data)
{
  (void)data;
  parent_class = g_type_class_peek_parent (class);
  ((GInputStreamClass *)class)->read_finish = read_finish;
}

static GType
get_type (void)
{
  static GType type;
  if (type == 0)
    type = g_type_register_static_simple (
        G_TYPE_MEMORY_INPUT_STREAM, "jw_body_stream",
        sizeof (GMemoryInputStreamClass), class_init,
        sizeof (struct body_stream), NULL, 0);
  return type;
}

/* Returns a stream of BODY, which fails if its first bytes are read after
   SEND_BY_US, monotonic microseconds. It is freed by g_object_unref.  */
GInputStream *
body_stream_new (GBytes *body, gint64 send_by_us)
{
  struct body_stream *stream = g_object_new (get_type (), NULL);
  stream->send_by_us = send_by_us;
  g_memory_input_stream_add_bytes (G_MEMORY_INPUT_STREAM (stream), body);
  return G_INPUT_STREAM (stream);
}
