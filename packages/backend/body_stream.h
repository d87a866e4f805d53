/* Request body for libsoup that is not begun after a time limit. libsoup writes
   the head of a request first and its body in a later iteration of the main
   loop, before which the process may be suspended.  */
#ifndef BODY_STREAM_H
#define BODY_STREAM_H

#include <gio/gio.h>

GInputStream *body_stream_new (GBytes *body, gint64 send_by_us);
gboolean body_stream_is_late (const GError *error);

#endif
