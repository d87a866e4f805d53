/* The settings of a gate: an instance that forwards routes by host and path.
   Read once at its start from an INI file.  */
#ifndef PROXY_SETTINGS_H
#define PROXY_SETTINGS_H

#include "base/err.h"
#include "base/log.h"
#include "base/str.h"

/* X (NAME, "name"): how fields of requests and answers are called */
#define PROXY_SETTINGS_HEADER_NAMES(X)                                         \
  X (OWN, "own") /* gate/dia.c */                                              \
  X (PLATFORM, "platform")

enum proxy_settings_header_names
{
#define PROXY_SETTINGS_HEADER_NAMES_ENUM(id, name)                             \
  PROXY_SETTINGS_HEADER_NAMES_##id,
  PROXY_SETTINGS_HEADER_NAMES (PROXY_SETTINGS_HEADER_NAMES_ENUM)
#undef PROXY_SETTINGS_HEADER_NAMES_ENUM
};

struct proxy_settings
{
  struct str_id id;
  struct str_id domain;
  struct str_id region;
  enum log_level log_level;
  char *chart_folder; /* folder of the state charts */

  enum proxy_settings_header_names header_names;
  char listen_clients[ERR_PEER_MAX]; /* IP:PORT */
  char listen_ready[ERR_PEER_MAX];   /* readiness */
  char listen_metrics[ERR_PEER_MAX]; /* metrics and dump; "": none */
  char listen_peers[ERR_PEER_MAX];   /* datagrams between instances */
  char **seeds; /* IP or IP:PORT of instances to begin with */

  char store_address[ERR_PEER_MAX];
  gint64 store_timeout_us;

  gint64 key_freshness_limit_us; /* use of keys without a fresh proof; 0: no
                                    limit */
  gint64 shutdown_limit_us;      /* a shutdown must be over by then */
  double retry_ratio; /* attempts beyond the first for each request */
  guint retry_slack;  /* further ones of all instances in a window */
  gint64 retry_window_us;

  char **domain_regions; /* DOMAIN=REGION */
};

gboolean proxy_settings_detect (const char *path);
int proxy_settings_read (struct proxy_settings *settings, const char *path,
                         GPtrArray *problems);
void proxy_settings_clear (struct proxy_settings *settings);

#endif
