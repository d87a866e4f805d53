/* The settings of one instance, read once at its start from an INI file. */
#ifndef SET_H
#define SET_H

#include "base/err.h"
#include "base/log.h"
#include "base/str.h"

#define SET_FILE_MAX (256 * 1024) /* bytes of the settings file */
#define SET_KEY_MIN 16            /* bytes of the peers' shared key */
#define SET_KEY_MAX 4096          /* bytes of a key or token file */
#define SET_PEERS_MAX 1024

struct set_settings
{
  struct str_id id;
  struct str_id domain;
  struct str_id region;
  enum log_level log_level;
  char *charts; /* folder of the state charts */

  char listen_callers[ERR_PEER_MAX]; /* IP:PORT; port 0: the kernel's choice */
  char listen_admin[ERR_PEER_MAX];
  char listen_peers[ERR_PEER_MAX];

  char **peers; /* IP:PORT, NULL-terminated */
  char *peer_key_file;
  GBytes *peer_key; /* secret shared by all instances */

  char platform[ERR_PEER_MAX]; /* IP:PORT */
  char *platform_token_file;   /* NULL: none */
  char *platform_token;        /* bearer token; NULL: none */

  guint64 max_body_bytes;   /* of a caller's request */
  guint64 max_header_bytes; /* of a caller's request */
  guint max_requests;       /* in progress */
  gint64 header_timeout_us; /* for a request's headers to arrive */
  gint64 caller_stall_us;   /* longest time without a byte read or sent */
  gint64 backend_stall_us;  /* an engine that sends nothing is left */
  gint64 shutdown_grace_us; /* serving on, until the balancer has noticed */
};

int set_read (struct set_settings *settings, const char *path,
              GPtrArray *problems);
void set_clear (struct set_settings *settings);

#endif
