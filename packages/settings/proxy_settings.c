#include "settings/proxy_settings.h"

#include <string.h>

#include "config/ini.h"

#define FILE_MAX (256 * 1024) /* bytes of the settings file */
#define HOUR_MS 3600000.0

#define KEY(type, name, field, required, ...)                                  \
  {                                                                            \
    name, INI_##type, required, offsetof (struct proxy_settings, field),       \
        __VA_ARGS__                                                            \
  }
#define REQUIRED TRUE
#define OPTIONAL FALSE

/* In the order of enum log_level. */
static const char *const log_levels[]
    = { "error", "warn", "info", "debug", NULL };

static const char *const header_names_choices[] = {
#define PROXY_SETTINGS_HEADER_NAMES_TEXT(id, name) name,
  PROXY_SETTINGS_HEADER_NAMES (PROXY_SETTINGS_HEADER_NAMES_TEXT)
#undef PROXY_SETTINGS_HEADER_NAMES_TEXT
      NULL
};

static const char *const leave_choices[] = {
#define PROXY_SETTINGS_LEAVE_TEXT(id, name) name,
  PROXY_SETTINGS_LEAVE (PROXY_SETTINGS_LEAVE_TEXT)
#undef PROXY_SETTINGS_LEAVE_TEXT
      NULL
};

static const struct ini_key instance_keys[] = {
  KEY (ID, "id", id, REQUIRED),
  KEY (ID, "domain", domain, REQUIRED),
  KEY (ID, "region", region, REQUIRED),
  KEY (CHOICE, "log_level", log_level, OPTIONAL, 0, 0, LOG_INFO, log_levels),
  KEY (PATH, "charts", chart_folder, REQUIRED),
};

static const struct ini_key proxy_keys[] = {
  KEY (CHOICE, "dialect", header_names, OPTIONAL, 0, 0,
       PROXY_SETTINGS_HEADER_NAMES_OWN, header_names_choices),
  KEY (LISTEN, "callers", listen_clients, REQUIRED),
  KEY (LISTEN, "ready", listen_ready, REQUIRED),
  KEY (LISTEN, "metrics", listen_metrics, OPTIONAL),
  KEY (MS, "key_limit_ms", key_freshness_limit_us, OPTIONAL, 0, HOUR_MS, 5000),
  KEY (MS, "grace_ms", shutdown_limit_us, OPTIONAL, 0, HOUR_MS, 8000,
       .in_seconds = "grace_s"),
  KEY (MS, "drain_ms", drain_us, OPTIONAL, 0, HOUR_MS, 3000),
  KEY (NUMBER, "retry_ratio", retry_ratio, OPTIONAL, 0, 10, 0.1),
  KEY (NUMBER, "retry_slack", retry_slack, OPTIONAL, 0, 100000, 20),
  KEY (MS, "retry_window_ms", retry_window_us, OPTIONAL, 1000, HOUR_MS, 10000,
       .in_seconds = "retry_window_s"),
  KEY (CHOICE, "leave_domain", leave_domain, OPTIONAL, 0, 0,
       PROXY_SETTINGS_LEAVE_FIXED, leave_choices),
  KEY (NUMBER, "region_mbps", region_mbps, OPTIONAL, 0, 1e6, 60),
  KEY (NUMBER, "memory_mb", memory_mb, OPTIONAL, 0, 1e6, 256),
};

static const struct ini_key peers_keys[] = {
  KEY (LISTEN, "listen", listen_peers, REQUIRED),
  KEY (LIST, "seeds", seeds, OPTIONAL),
};

static const struct ini_key store_keys[] = {
  KEY (ADDRESS, "address", store_address, REQUIRED),
  KEY (MS, "timeout_ms", store_timeout_us, OPTIONAL, 10, HOUR_MS, 1000),
};

static const struct ini_key duties_keys[] = {
  KEY (ADDRESS, "address", duties.address, REQUIRED),
  /* Calls need 800 ms of the term, and a renewal a third of it. */
  KEY (MS, "lease_ms", duties.lease_us, OPTIONAL, 1500, HOUR_MS, 3000),
  KEY (MS, "usage_window_ms", duties.usage_window_us, OPTIONAL, 1000, HOUR_MS,
       5000, .in_seconds = "usage_window_s"),
  KEY (MS, "usage_late_ms", duties.usage_late_us, OPTIONAL, 0, HOUR_MS, 10000,
       .in_seconds = "usage_late_s"),
  KEY (NUMBER, "calls_per_s", duties.calls_per_s, OPTIONAL, 1, 100000, 50),
};

/* The duties themselves, by their own names and by those that the template's
   list gives.  */
static const struct duty_key
{
  const char *name;
  gsize offset; /* of a gboolean */
} duty_keys[] = {
  { "reports", offsetof (struct proxy_settings, duties.reports) },
  { "usage_report", offsetof (struct proxy_settings, duties.reports) },
  { "orders", offsetof (struct proxy_settings, duties.orders) },
  { "autoscale", offsetof (struct proxy_settings, duties.orders) },
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
  GROUP ("instance", instance_keys),
  GROUP ("gate", proxy_keys),
  GROUP ("peers", peers_keys),
  GROUP ("store", store_keys),
};

/* Returns whether the file PATH holds the settings of a reverse proxy.  */
gboolean
proxy_settings_detect (const char *path)
{
  GKeyFile *file = g_key_file_new ();
  gboolean is_proxy
      = g_key_file_load_from_file (file, path, G_KEY_FILE_NONE, NULL)
        && g_key_file_has_group (file, "gate");
  g_key_file_unref (file);
  return is_proxy;
}

/* Reads the group [domains], which maps each failure domain to its region.  */
static void
read_domains (struct ini *ini, struct proxy_settings *settings)
{
  gsize n = 0;
  g_auto (GStrv) names = g_key_file_get_keys (ini->file, "domains", &n, NULL);
  GPtrArray *list = g_ptr_array_new ();
  for (gsize i = 0; i < n; i++)
    {
      g_autofree char *region
          = g_key_file_get_value (ini->file, "domains", names[i], NULL);
      if (!str_id_ok (str_of (names[i])) || !str_id_ok (str_of (region)))
        ini_problem (ini, "domains", names[i],
                     "is wrong; allowed: DOMAIN=REGION");
      g_ptr_array_add (list, g_strdup_printf ("%s=%s", names[i], region));
    }
  g_ptr_array_add (list, NULL);
  settings->domain_regions = (char **)g_ptr_array_free (list, FALSE);
}

static gboolean
is_duties_key (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (duties_keys); i++)
    if (strcmp (name, duties_keys[i].name) == 0
        || g_strcmp0 (name, duties_keys[i].in_seconds) == 0)
      return TRUE;
  return FALSE;
}

/* Reads which duties there are. A duty that is not known is left to others: the
   instance starts, as it can serve without.  */
static void
read_duty_names (struct ini *ini, struct proxy_settings *settings)
{
  g_auto (GStrv) names = g_key_file_get_keys (ini->file, "duties", NULL, NULL);
  for (guint i = 0; names != NULL && names[i] != NULL; i++)
    {
      g_autofree char *text
          = g_key_file_get_value (ini->file, "duties", names[i], NULL);
      gboolean on = strcmp (g_strstrip (text), "1") == 0;
      gboolean known = is_duties_key (names[i]);
      for (guint k = 0; k < G_N_ELEMENTS (duty_keys); k++)
        if (strcmp (names[i], duty_keys[k].name) == 0)
          {
            known = TRUE;
            if (on)
              G_STRUCT_MEMBER (gboolean, settings, duty_keys[k].offset) = TRUE;
            else if (strcmp (text, "0") != 0)
              ini_problem (ini, "duties", names[i],
                           "is wrong; allowed: 0 or 1");
          }
      if (!known && ini->tolerated != NULL)
        g_ptr_array_add (
            ini->tolerated,
            g_strdup_printf ("group [duties], key %s: is unknown and ignored",
                             names[i]));
    }
}

static void
read_duties (struct ini *ini, struct proxy_settings *settings)
{
  if (!g_key_file_has_group (ini->file, "duties"))
    return;
  ini_read_group (ini, "duties", duties_keys, G_N_ELEMENTS (duties_keys), "",
                  settings);
  read_duty_names (ini, settings);
}

static void
check_groups (struct ini *ini)
{
  g_auto (GStrv) names = g_key_file_get_groups (ini->file, NULL);
  for (guint i = 0; names[i] != NULL; i++)
    {
      gboolean known = strcmp (names[i], "domains") == 0
                       || strcmp (names[i], "duties") == 0;
      for (guint g = 0; g < G_N_ELEMENTS (groups) && !known; g++)
        known = strcmp (names[i], groups[g].name) == 0;
      if (!known)
        ini_problem (ini, names[i], NULL,
                     "is unknown; allowed: instance, gate, peers, store, "
                     "domains, duties");
    }
}

static void
read_groups (struct ini *ini, struct proxy_settings *settings)
{
  check_groups (ini);
  for (guint i = 0; i < G_N_ELEMENTS (groups); i++)
    ini_read_group (ini, groups[i].name, groups[i].keys, groups[i].n_keys, NULL,
                    settings);
  read_domains (ini, settings);
  read_duties (ini, settings);
  if (settings->chart_folder != NULL && *settings->chart_folder != '\0'
      && !g_file_test (settings->chart_folder, G_FILE_TEST_IS_DIR))
    ini_problem (ini, "instance", "charts",
                 "%s is not a directory; allowed: the directory of the state "
                 "charts, relative to the working directory",
                 settings->chart_folder);
}

/* Reads the settings file PATH into SETTINGS. The caller always has to call
   proxy_settings_clear afterwards. Returns < 0 if the instance can't run with
   them, with one newly allocated string added to PROBLEMS for each problem. An
   optional number that can't be read gets its default, with a string added to
   TOLERATED. Blocks.  */
int
proxy_settings_read (struct proxy_settings *settings, const char *path,
                     GPtrArray *problems, GPtrArray *tolerated)
{
  memset (settings, 0, sizeof *settings);
  guint before = problems->len;
  struct ini ini
      = { .source = path, .problems = problems, .tolerated = tolerated };
  int code = ini_load (&ini, FILE_MAX);
  if (code == 0)
    read_groups (&ini, settings);
  ini_close (&ini);
  if (code == ERR_NOT_FOUND)
    return code;
  return problems->len > before ? ERR_INVALID : 0;
}

void
proxy_settings_clear (struct proxy_settings *settings)
{
  g_free (settings->chart_folder);
  g_strfreev (settings->seeds);
  g_strfreev (settings->domain_regions);
  memset (settings, 0, sizeof *settings);
}
