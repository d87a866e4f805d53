#include "settings/router_settings.h"

#include <string.h>

#include "config/ini.h"

#define MIB 1048576.0 /* bytes */
#define HOUR_MS 3600000.0

#define KEY(type, name, field, required, ...)                                  \
  {                                                                            \
    name, INI_##type, required, offsetof (struct router_settings, field),      \
        __VA_ARGS__                                                            \
  }
#define REQUIRED TRUE
#define OPTIONAL FALSE

/* In the order of enum log_level. */
static const char *const log_levels[]
    = { "error", "warn", "info", "debug", NULL };

static const struct ini_key instance_keys[] = {
  KEY (ID, "id", id, REQUIRED),
  KEY (ID, "domain", domain, REQUIRED),
  KEY (ID, "region", region, REQUIRED),
  KEY (CHOICE, "log_level", log_level, OPTIONAL, 0, 0, LOG_INFO, log_levels),
  KEY (PATH, "charts", chart_folder, REQUIRED),
};

static const struct ini_key listen_keys[] = {
  KEY (LISTEN, "callers", listen_clients, REQUIRED),
  KEY (LISTEN, "admin", listen_admin, REQUIRED),
  KEY (LISTEN, "peers", listen_peers, REQUIRED),
};

static const struct ini_key peers_keys[] = {
  KEY (LIST, "addresses", peer_addresses, REQUIRED),
  KEY (PATH, "key_file", peer_key_file, REQUIRED),
};

static const struct ini_key platform_keys[] = {
  KEY (ADDRESS, "address", platform_address, REQUIRED),
  KEY (PATH, "token_file", platform_token_file, OPTIONAL),
};

static const struct ini_key limits_keys[] = {
  KEY (BYTES, "max_body_bytes", max_body_bytes, OPTIONAL, 1024, 64 * MIB, MIB),
  KEY (BYTES, "max_header_bytes", max_header_bytes, OPTIONAL, 1024, MIB, 16384),
  KEY (COUNT, "max_requests", max_requests, OPTIONAL, 1, 100000, 2000),
  KEY (MS, "header_timeout_ms", header_timeout_us, OPTIONAL, 10, HOUR_MS,
       10000),
  KEY (MS, "caller_stall_ms", client_stall_us, OPTIONAL, 10, HOUR_MS, 30000),
  KEY (MS, "backend_stall_ms", backend_stall_us, OPTIONAL, 10, HOUR_MS, 10000),
  KEY (MS, "shutdown_grace_ms", shutdown_grace_us, OPTIONAL, 0, HOUR_MS, 5000),
};

struct group
{
  const char *name;
  const struct ini_key *keys;
  guint n_keys;
};

#define GROUP(name, keys)                                                      \
  {                                                                            \
    name, keys, G_N_ELEMENTS (keys)                                            \
  }
static const struct group groups[] = {
  GROUP ("instance", instance_keys), GROUP ("listen", listen_keys),
  GROUP ("peers", peers_keys),       GROUP ("platform", platform_keys),
  GROUP ("limits", limits_keys),
};

static void
check_groups (struct ini *ini)
{
  g_auto (GStrv) names = g_key_file_get_groups (ini->file, NULL);
  for (guint i = 0; names[i] != NULL; i++)
    {
      gboolean known = FALSE;
      for (guint g = 0; g < G_N_ELEMENTS (groups) && !known; g++)
        known = strcmp (names[i], groups[g].name) == 0;
      if (!known)
        ini_problem (ini, names[i], NULL,
                     "is unknown; allowed: instance, listen, peers, platform, "
                     "limits");
    }
}

/* Makes *PATH relative to the directory of the settings file, unless it is
   absolute.  */
static void
resolve_path (const char *settings_path, char **path)
{
  if (*path == NULL || **path == '\0' || g_path_is_absolute (*path))
    return;
  g_autofree char *folder = g_path_get_dirname (settings_path);
  char *resolved = g_build_filename (folder, *path, NULL);
  g_free (*path);
  *path = resolved;
}

/* Returns the text of the file PATH without trailing white space, g_free. Adds
   a problem and returns NULL if the text has fewer than MIN bytes or the file
   more than ROUTER_SETTINGS_KEY_MAX.  */
static char *
read_secret (struct ini *ini, const char *group, const char *key,
             const char *path, gsize min)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  gsize n;
  if (path == NULL || *path == '\0')
    return NULL;
  if (!g_file_get_contents (path, &text, &n, &error))
    {
      ini_problem (ini, group, key, "%s; allowed: a file that can be read",
                   error->message);
      return NULL;
    }
  g_strchomp (text);
  if (n > ROUTER_SETTINGS_KEY_MAX || strlen (text) < min)
    {
      ini_problem (ini, group, key,
                   "the file %s is too short or too long; allowed: text "
                   "of %zu to %d bytes",
                   path, min, ROUTER_SETTINGS_KEY_MAX);
      return NULL;
    }
  return g_steal_pointer (&text);
}

static void
read_secrets (struct ini *ini, struct router_settings *settings)
{
  char *key = read_secret (ini, "peers", "key_file", settings->peer_key_file,
                           ROUTER_SETTINGS_KEY_MIN);
  if (key != NULL)
    settings->peer_key = g_bytes_new_take (key, strlen (key));
  settings->platform_token = read_secret (ini, "platform", "token_file",
                                          settings->platform_token_file, 1);
}

static void
check_peers (struct ini *ini, char *const *peers)
{
  guint n = 0;
  for (; peers != NULL && peers[n] != NULL; n++)
    {
      if (!ini_address_ok (peers[n], FALSE))
        ini_problem (ini, "peers", "addresses",
                     "\"%.80s\" is wrong; allowed: IP:PORT;IP:PORT, or nothing",
                     peers[n]);
      if (g_strv_contains ((const char *const *)peers + n + 1, peers[n]))
        ini_problem (ini, "peers", "addresses",
                     "%.80s is listed twice; allowed: once", peers[n]);
    }
  if (n > ROUTER_SETTINGS_PEERS_MAX)
    ini_problem (ini, "peers", "addresses",
                 "has %u addresses; allowed: at most %d", n,
                 ROUTER_SETTINGS_PEERS_MAX);
}

/* Returns whether two listeners would conflict. With port 0 the kernel chooses
   different ports, and an empty address is reported elsewhere.  */
static gboolean
same_address (const char *a, const char *b)
{
  return *a != '\0' && !g_str_has_suffix (a, ":0") && strcmp (a, b) == 0;
}

static void
check_listeners (struct ini *ini, const struct router_settings *settings)
{
  if (same_address (settings->listen_admin, settings->listen_clients))
    ini_problem (ini, "listen", "admin",
                 "%s is the address for clients; allowed: "
                 "a separate address",
                 settings->listen_admin);
  if (same_address (settings->listen_peers, settings->listen_clients)
      || same_address (settings->listen_peers, settings->listen_admin))
    ini_problem (ini, "listen", "peers",
                 "%s is the address of another "
                 "listener; allowed: a separate address",
                 settings->listen_peers);
}

static void
check_charts (struct ini *ini, const char *chart_folder)
{
  if (chart_folder != NULL && *chart_folder != '\0'
      && !g_file_test (chart_folder, G_FILE_TEST_IS_DIR))
    ini_problem (ini, "instance", "charts",
                 "%s is not a directory; allowed: the directory of the state "
                 "charts",
                 chart_folder);
}

static void
read_groups (struct ini *ini, struct router_settings *settings)
{
  check_groups (ini);
  for (guint i = 0; i < G_N_ELEMENTS (groups); i++)
    ini_read_group (ini, groups[i].name, groups[i].keys, groups[i].n_keys, NULL,
                    settings);
  resolve_path (ini->source, &settings->chart_folder);
  resolve_path (ini->source, &settings->peer_key_file);
  resolve_path (ini->source, &settings->platform_token_file);
  check_charts (ini, settings->chart_folder);
  check_listeners (ini, settings);
  check_peers (ini, settings->peer_addresses);
  read_secrets (ini, settings);
}

/* Reads the settings file PATH and the key files that it names into SETTINGS.
   The caller always has to call router_settings_clear afterwards. Relative
   paths are resolved against the directory of PATH. Returns < 0 if anything is
   invalid, with one newly allocated string added to PROBLEMS for each problem.
   Blocks; for use at startup only.  */
int
router_settings_read (struct router_settings *settings, const char *path,
                      GPtrArray *problems)
{
  memset (settings, 0, sizeof *settings);
  guint before = problems->len;
  struct ini ini = { .source = path, .problems = problems };
  int code = ini_load (&ini, ROUTER_SETTINGS_FILE_MAX);
  if (code == 0)
    read_groups (&ini, settings);
  ini_close (&ini);
  if (code == ERR_NOT_FOUND)
    return code;
  return problems->len > before ? ERR_INVALID : 0;
}

void
router_settings_clear (struct router_settings *settings)
{
  g_free (settings->chart_folder);
  g_strfreev (settings->peer_addresses);
  g_free (settings->peer_key_file);
  if (settings->peer_key != NULL)
    g_bytes_unref (settings->peer_key);
  g_free (settings->platform_token_file);
  g_free (settings->platform_token);
  memset (settings, 0, sizeof *settings);
}
