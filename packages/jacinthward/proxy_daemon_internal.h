/* Shared by the source files of the proxy daemon only.  */
#ifndef PROXY_DAEMON_INTERNAL_H
#define PROXY_DAEMON_INTERNAL_H

#include "base/counter.h"
#include "base/histogram.h"
#include "fleet/read_schedule.h"
#include "fleet/start_evidence.h"
#include "fleet/store_era.h"
#include "gate/reverse_proxy.h"
#include "http/server.h"
#include "jacinthward/crash_keeper.h"
#include "jacinthward/duty_keeper.h"
#include "jacinthward/order_view.h"
#include "jacinthward/proxy_daemon.h"
#include "jacinthward/stream_keeper.h"
#include "jacinthward/usage_keeper.h"
#include "jacinthward/version_keeper.h"
#include "net/udp.h"
#include "peer/peer_server_list.h"
#include "peer/gossip.h"
#include "transfer/text_delta.h"
#include "peer/transfer_budget.h"
#include "platform/adapter.h"

/* Returns the header names that the settings select for clients and backend
   servers; the result is static. */
static inline const struct header_names *
proxy_daemon_header_names (const struct proxy_settings *settings)
{
  return settings->header_names == PROXY_SETTINGS_HEADER_NAMES_PLATFORM
             ? adapter_header_names ()
             : header_names_default ();
}

/* What peers fetch from each other. The digest of the configuration or the list
   that the peer has, in hexadecimal, follows the path of the changes. */
#define PROXY_DAEMON_CONFIG_PATH "/config"
#define PROXY_DAEMON_CONFIG_SINCE_PATH "/config/since/"
#define PROXY_DAEMON_CHANGES_TYPE "application/x-text-delta"
#define PROXY_DAEMON_SERVERS_PATH "/servers"
#define PROXY_DAEMON_SERVERS_SINCE_PATH "/servers/since/"
#define PROXY_DAEMON_VERSIONS_PATH "/versions"

/* Instances of the domain that are considered for the time slices. */
#define PROXY_DAEMON_CONTENDERS_MAX 64

struct fetch; /* a request to a peer */

/* Requests to peers for data of one kind that are in progress: a second one
   begins if the first takes long. */
#define PROXY_DAEMON_FETCHES_MAX 2
struct fetches
{
  struct fetch *slots[PROXY_DAEMON_FETCHES_MAX]; /* owned; NULL: unused */
};

struct proxy_daemon
{
  const struct proxy_settings *settings; /* borrowed */
  const struct clk *clk;
  GMainLoop *loop;
  struct counter_set counter_set;
  struct histogram_set histogram_set;
  struct topology *topology;
  struct registry *registry;
  struct scheduler *scheduler;
  struct suspects *suspects;
  struct crash_keeper *crash_keeper;
  struct stream_keeper *stream_keeper;
  struct version_keeper *version_keeper;
  struct usage_keeper *usage_keeper; /* NULL: usage is not accounted */
  struct duty_keeper *duty_keeper;   /* NULL: there are no duties */
  guint news_source;                 /* GLib source: on_news_due; 0: none */
  gboolean news_is_own;              /* something was seen here since */
  gint64 news_sent_at;               /* clock time */
  struct reverse_proxy *reverse_proxy;
  struct gossip *gossip;
  struct udp *udp;
  struct platform_adapter *adapter;
  struct http_server *ready_endpoints;   /* for the load balancer */
  struct http_server *metrics_endpoints; /* for operators; NULL: none */
  struct http_server *peer_endpoints;    /* config and servers, for peers */
  GRand *rand;
  struct read_schedule config_schedule;
  struct read_schedule servers_schedule;
  struct fetches config_fetches;
  struct fetches servers_fetches;
  struct fetches versions_fetches;
  struct store_era store_era;
  struct start_evidence evidence; /* that a configuration is the newest */
  GBytes *config_text; /* JSON of the configuration in force; NULL: none yet */
  struct text_history *config_history; /* of that JSON */
  guint64 config_arriving;    /* version of a configuration from a peer that is
                                 being decoded; 0: none is */
  gboolean no_config_changes; /* the last fetch of changes failed: the next one
                                 asks for the whole text */
  struct peer_server_list server_list; /* the newest list; entries is NULL until
                             one has been read */
  struct server_list_history *server_list_history;
  struct transfer_budget config_budget; /* for what peers fetch of each kind */
  struct transfer_budget servers_budget;
  gint64 config_applied_at; /* clock time */
  gint64 fresh_peer_at; /* clock time of the last message from a peer that has a
                           fresh confirmation of this configuration */
  guint fetches_failed; /* consecutive fetches from peers */
  gboolean no_changes;  /* the last fetch of changes failed: the next one asks
                           for the whole list */
  struct placement_contender contenders[PROXY_DAEMON_CONTENDERS_MAX];
  GArray *limit_members;      /* of struct limit_member */
  GArray *relays;             /* of struct gossip_relay, for one call */
  guint client_port;          /* where clients reach this instance */
  struct placement_self self; /* as the scheduler has it */
  gint64 waiting_since;       /* clock time since which requests are queued
                                 without a break; 0: none are */
  gint64 health_reviewed_at;  /* clock time of the last health review */
  gint64 last_tick;           /* clock time of the last tick */
  guint32 ip;                 /* host byte order */
  guint peer_port;
  guint tick_timer;           /* GLib source */
  gboolean store_unavailable; /* the last read of the store failed */
  gboolean stopping;
};

/* Synchronization of the configuration and the server list with the store and
   with peers. */
void proxy_daemon_sync_init (struct proxy_daemon *daemon, gint64 now);
void proxy_daemon_sync_step (struct proxy_daemon *daemon, gint64 now);
void proxy_daemon_handle_peer_update (struct proxy_daemon *daemon, guint32 ip,
                                      const struct gossip_update *update,
                                      gint64 now);
void proxy_daemon_sync_free (struct proxy_daemon *daemon);

/* HTTP endpoints for the load balancer, operators and peers. */
int proxy_daemon_endpoints_open (struct proxy_daemon *daemon, struct err *err);
void proxy_daemon_endpoints_free (struct proxy_daemon *daemon);

#endif
