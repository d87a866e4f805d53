/* UDP sockets over IPv4 on the main loop.  */
#ifndef UDP_H
#define UDP_H

#include <glib.h>

#include "base/err.h"
#include "base/str.h"

#define UDP_DATAGRAM_MAX 60000 /* bytes; longer ones are truncated */

struct udp;

/* Called with a datagram received from IP (host byte order). BYTES are valid
   during the call.  */
typedef void (*udp_received) (void *ctx, guint32 ip, struct str bytes);

struct udp *udp_new (const char *address, udp_received received, void *ctx,
                     struct err *err);
void udp_free (struct udp *udp);
int udp_send (struct udp *udp, guint32 ip, guint port, struct str bytes);
guint udp_port (const struct udp *udp);
gboolean udp_ip_parse (const char *text, guint32 *ip);

#endif
