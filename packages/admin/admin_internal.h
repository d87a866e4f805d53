/* What the files of this package share; not for others.  */
#ifndef ADMIN_INTERNAL_H
#define ADMIN_INTERNAL_H

#include <libsoup/soup.h>

#include "admin/admin_server.h"

struct admin_server
{
  struct admin_server_options options; /* its strings are owned */
  GSocketService *service;
  SoupServer *server;
  guint port;
  guint idle_timer;        /* GLib source */
  GHashTable *connections; /* of struct admin_connection by remote address */
  GPtrArray *changes;      /* of struct admin_change, in progress */
};

/* An operator's connection. */
struct admin_connection
{
  GSocketAddress *remote; /* a reference; libsoup hands the same object out */
  GSocket *socket;        /* a reference */
  gint64 idle_deadline;   /* clock time by which something must happen */
  gsize discarded;        /* bytes of refused bodies */
};

/* A request whose operator may make it. */
struct admin_request
{
  struct admin_server *admin_server;
  SoupServerMessage *message;
  const struct cfg *cfg;     /* in force; NULL only where none is needed */
  const char *operator_name; /* NULL where none is needed */
  char *name;                /* the NAME in the path, NULL if it has none */
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
