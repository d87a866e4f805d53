/* The settings of a router instance, read once at startup from an INI file. */
#ifndef ROUTER_SETTINGS_H
#define ROUTER_SETTINGS_H

#include "base/err.h"
#include "base/log.h"
#include "base/str.h"

#define ROUTER_SETTINGS_FILE_MAX (256 * 1024) /* bytes of the settings file */
#define ROUTER_SETTINGS_KEY_MIN 16   /* bytes of the key shared by the peers */
#define ROUTER_SETTINGS_KEY_MAX 4096 /* bytes of a key or token file */
#define ROUTER_SETTINGS_PEERS_MAX 1024

struct router_settings
{
  struct str_id id;
  struct str_id domain;
  struct str_id region;
  enum log_level log_level;
  char *chart_folder; /* directory of the state charts */

  char listen_clients[ERR_PEER_MAX]; /* IP:PORT; with port 0 the kernel chooses
                                        one */
  char listen_admin[ERR_PEER_MAX];
  char listen_peers[ERR_PEER_MAX];

  char **peer_addresses; /* IP:PORT each, NULL-terminated */
  char *peer_key_file;
  GBytes *peer_key; /* shared by all instances */

  char platform_address[ERR_PEER_MAX]; /* of the object store, IP:PORT */
  char *platform_token_file;           /* NULL: none */
  char *platform_token;                /* bearer token; NULL: none */

  guint64 max_body_bytes;   /* limit for the body of a client's request */
  guint64 max_header_bytes; /* limit for the headers of a client's request */
  guint max_requests;       /* most requests in progress */
  gint64 header_timeout_us; /* for a request's headers to arrive */
  gint64 client_stall_us; /* longest time without a byte read from or written to
                             a client */
  gint64 backend_stall_us;  /* an engine that sends nothing for this long is
                               abandoned */
  gint64 shutdown_grace_us; /* for the load balancer to notice a shutdown, while
                               the instance still accepts connections */
};

int router_settings_read (struct router_settings *settings, const char *path,
                          GPtrArray *problems);
void router_settings_clear (struct router_settings *settings);

#endif
