/* Declarations shared by the files of this package; not for use outside it.  */
#ifndef ADMIN_INTERNAL_H
#define ADMIN_INTERNAL_H

#include <libsoup/soup.h>

#include "admin/admin_server.h"

struct admin_server
{
  struct admin_server_options options; /* listen and self are owned */
  GSocketService *service;
  SoupServer *server;
  guint port;
  guint idle_timer;        /* GLib source */
  GHashTable *connections; /* remote address to struct admin_connection; keys
                              compare by pointer */
  GPtrArray *changes;      /* of struct admin_change; updates in progress */
};

/* A client connection. */
struct admin_connection
{
  /* A reference. libsoup returns this same object for each message of the
     connection. */
  GSocketAddress *remote;
  GSocket *socket;      /* a reference */
  gint64 idle_deadline; /* clock time at which it is closed */
  gsize discarded;      /* bytes of rejected bodies so far */
};

/* A request that is routed and authorized. */
struct admin_request
{
  struct admin_server *admin_server;
  SoupServerMessage *message;
  /* In force; may be NULL where ACCESS_OPEN applies. */
  const struct cluster_config *cfg;
  const char *operator_name; /* NULL where ACCESS_OPEN applies */
  char *name;                /* path segment that "*" matches; NULL: none */
};

void admin_accept (struct admin_server *admin_server,
                   GSocketConnection *connection);
void admin_note_progress (struct admin_server *admin_server,
                          SoupServerMessage *message);
void admin_count_discarded (struct admin_server *admin_server,
                            SoupServerMessage *message, gsize n);
gboolean admin_close_idle (gpointer data);
void admin_connection_free (gpointer data);

void admin_respond_json (SoupServerMessage *message, guint status,
                         JsonBuilder *json);
void admin_respond_error (SoupServerMessage *message, guint status,
                          const char *code, const struct err *err);
void admin_add_error (JsonBuilder *json, const char *code,
                      const struct err *err);

void admin_get_classes (const struct admin_request *request);
void admin_get_teams (const struct admin_request *request);
void admin_get_backends (const struct admin_request *request);
void admin_get_presets (const struct admin_request *request);
void admin_get_instances (const struct admin_request *request);
void admin_get_status (const struct admin_request *request);

void admin_put_config (const struct admin_request *request);
void admin_put_preset (const struct admin_request *request);
void admin_put_drain (const struct admin_request *request);
void admin_put_undrain (const struct admin_request *request);
void admin_abandon_changes (struct admin_server *admin_server);

#endif
