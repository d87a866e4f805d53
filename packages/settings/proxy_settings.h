/* The settings of a reverse proxy: an instance that forwards requests by host
   and path. Read at startup from an INI file, which may be filled in from a
   template; checked again when it has changed.  */
#ifndef PROXY_SETTINGS_H
#define PROXY_SETTINGS_H

#include "base/err.h"
#include "base/log.h"
#include "base/str.h"

/* X (NAME, "name"): the set of header names in requests and responses */
#define PROXY_SETTINGS_HEADER_NAMES(X)                                         \
  X (OWN, "own") /* the names defined in packages/gate */                      \
  X (PLATFORM, "platform")

enum proxy_settings_header_names
{
#define PROXY_SETTINGS_HEADER_NAMES_ENUM(id, name)                             \
  PROXY_SETTINGS_HEADER_NAMES_##id,
  PROXY_SETTINGS_HEADER_NAMES (PROXY_SETTINGS_HEADER_NAMES_ENUM)
#undef PROXY_SETTINGS_HEADER_NAMES_ENUM
};

/* X (NAME, "name"): what decides when requests leave the failure domain */
#define PROXY_SETTINGS_LEAVE(X)                                                \
  X (FIXED, "fixed")       /* fixed costs of each request */                   \
  X (ADAPTIVE, "adaptive") /* the load here and there */

enum proxy_settings_leave
{
#define PROXY_SETTINGS_LEAVE_ENUM(id, name) PROXY_SETTINGS_LEAVE_##id,
  PROXY_SETTINGS_LEAVE (PROXY_SETTINGS_LEAVE_ENUM)
#undef PROXY_SETTINGS_LEAVE_ENUM
};

struct proxy_settings
{
  struct str_id id;
  struct str_id domain;
  struct str_id region;
  enum log_level log_level;
  char *chart_folder; /* directory of the state charts */

  enum proxy_settings_header_names header_names;
  char listen_clients[ERR_PEER_MAX]; /* IP:PORT */
  char listen_ready[ERR_PEER_MAX];   /* readiness endpoint */
  char listen_metrics[ERR_PEER_MAX]; /* metrics and dump; "": none */
  char listen_peers[ERR_PEER_MAX]; /* datagrams and fetches between instances */
  char **seeds; /* IP or IP:PORT of instances to contact first */

  char store_address[ERR_PEER_MAX];
  gint64 store_timeout_us;

  gint64 key_freshness_limit_us; /* longest use of API keys without a
                                    confirmation that the configuration is the
                                    newest; 0: no limit */
  gint64 shutdown_limit_us; /* time within which a shutdown must complete */
  gint64 drain_us;    /* how long a backend server may get new requests after it
                         has said that it is leaving */
  double retry_ratio; /* retries allowed per request */
  double retry_slack; /* retries allowed beyond that ratio, for all instances
                         together in one window */
  gint64 retry_window_us;
  enum proxy_settings_leave leave_domain;
  double region_mbps; /* of the link between two regions, shared by all
                         instances; 0: unknown, no limit */
  double memory_mb;   /* of the machine, 2^20 bytes each; 0: no limit */

  char **domain_regions; /* DOMAIN=REGION */

  /* The duties that one instance performs for all; with an empty address, there
     are none. */
  struct proxy_settings_duties
  {
    char address[ERR_PEER_MAX]; /* of the platform's API */
    gboolean reports;           /* usage is reported */
    gboolean orders;            /* servers are ordered */
    gint64 lease_us;
    gint64 usage_window_us;
    gint64 usage_late_us; /* after the end of a window, its report is due */
    double calls_per_s;   /* limit for all instances together */
  } duties;
};

gboolean proxy_settings_detect (const char *path);
int proxy_settings_read (struct proxy_settings *settings, const char *path,
                         GPtrArray *problems, GPtrArray *tolerated);
void proxy_settings_clear (struct proxy_settings *settings);

#endif
