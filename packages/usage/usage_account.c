#include "usage/usage_account.h"

#include <string.h>

/* An instance sends the windows that have ended within this time. */
#define SENT_US (30 * CLK_S)
#define KEPT_US (60 * CLK_S)
/* Windows that a message may be ahead of the time here. */
#define AHEAD_MAX 4
/* Without a sign of life for this time, an instance is not waited for. */
#define GONE_US (30 * CLK_S)
/* An instance of which nothing is heard for as many intervals, and this, while
   others of its domain are, has ended; a domain that is cut off falls silent
   as a whole. */
#define SILENT_INTERVALS 3
#define SILENT_US (1 * CLK_S)
/* After its start, an instance does not know the others yet. */
#define STARTING_US (4 * CLK_S)
#define PEER_KEPT_US (120 * CLK_S)
#define PEERS_MAX 1024
/* Starts of one instance that are known at a time. */
#define LIVES_MAX 4
#define NAMES_MAX 16384        /* of all instances together */
#define LIFE_NAMES_MAX 4096    /* of one instance */
#define WINDOW_COUNTS_MAX 1024 /* of one instance */
/* Bytes of a message. Those of each part, at most, when it is encoded. */
#define FILL_MAX (USAGE_MESSAGE_BYTES_MAX - 256)
#define NAME_BYTES 8
#define COUNT_BYTES 10
#define TOTAL_BYTES 46
/* The demand is measured over so many seconds, as long as the longest interval
   between messages. */
#define RATE_SECONDS 4
#define RATE_BUCKETS (RATE_SECONDS + 2)

/* The requests of a team in a window. */
struct entry
{
  guint32 name; /* in NAMES of the account */
  guint32 requests;
  guint64 revision; /* number of the last change; own counts only */
};

struct window_counts
{
  guint64 window;
  GArray *entries; /* of struct entry, by name */
};

struct total
{
  guint32 service; /* in NAMES of the account */
  guint32 domain;  /* likewise */
  struct usage_totals totals;
  guint64 revision;
};

/* A name as one instance numbers it. */
struct life_name
{
  guint32 name; /* in NAMES of the account, plus 1; 0: not known */
  guint64 revision;
};

/* What an instance has counted since one of its starts. */
struct life
{
  guint32 incarnation;
  guint64 held; /* last change of it that is held; own: last change */
  guint64 first_window;
  gint64 complete; /* its counts are complete up to this time */
  GArray *names;   /* of struct life_name */
  GArray *windows; /* of struct window_counts */
  GArray *totals;  /* of struct total */
};

struct peer
{
  guint32 ip;
  guint32 domain;   /* in NAMES of the account, plus 1; 0: not known */
  gint64 heard_at;  /* last message about usage; 0: none */
  gint64 alive_at;  /* last sign of life, of any kind */
  GPtrArray *lives; /* of struct life, the latest one last */
};

/* Increases of the totals of a service from a domain, by seconds. */
struct rate
{
  guint32 service;
  guint32 domain;
  gint64 second; /* of the latest bucket */
  struct usage_totals buckets[RATE_BUCKETS];
};

struct usage_account
{
  gint64 window_us;
  char *instance;
  gint64 now;        /* highest one seen */
  gint64 started_at; /* true time of the first call with one; 0: none yet */
  gint64 interval_us;
  struct life *own;
  GHashTable *own_numbers; /* name, plus 1: number in OWN, plus 1 */
  GHashTable *peers;       /* IP: struct peer, owned */
  GPtrArray *names;        /* owned texts */
  GHashTable *numbers;     /* text, borrowed: number in NAMES, plus 1 */
  GArray *rates;           /* of struct rate */
  guint64 lost;            /* counts for which there was no room */
};

static void
clear_window (gpointer data)
{
  g_array_unref (((struct window_counts *)data)->entries);
}

static struct life *
life_new (guint32 incarnation, guint64 first_window)
{
  struct life *life = g_new0 (struct life, 1);
  life->incarnation = incarnation;
  life->first_window = first_window;
  life->names = g_array_new (FALSE, TRUE, sizeof (struct life_name));
  life->windows = g_array_new (FALSE, FALSE, sizeof (struct window_counts));
  g_array_set_clear_func (life->windows, clear_window);
  life->totals = g_array_new (FALSE, FALSE, sizeof (struct total));
  return life;
}

static void
life_free (gpointer data)
{
  struct life *life = data;
  g_array_unref (life->names);
  g_array_unref (life->windows);
  g_array_unref (life->totals);
  g_free (life);
}

static void
peer_free (gpointer data)
{
  struct peer *peer = data;
  g_ptr_array_unref (peer->lives);
  g_free (peer);
}

/* INSTANCE names this instance, with a number that is new at each start.  */
struct usage_account *
usage_account_new (gint64 window_us, const char *instance, guint32 incarnation)
{
  struct usage_account *account = g_new0 (struct usage_account, 1);
  account->window_us = window_us;
  account->instance = g_strdup (instance);
  account->own = life_new (incarnation, 0);
  account->own_numbers = g_hash_table_new (g_direct_hash, g_direct_equal);
  account->peers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, peer_free);
  account->names = g_ptr_array_new_with_free_func (g_free);
  account->numbers = g_hash_table_new (g_str_hash, g_str_equal);
  account->rates = g_array_new (FALSE, TRUE, sizeof (struct rate));
  return account;
}

void
usage_account_free (struct usage_account *account)
{
  if (account == NULL)
    return;
  life_free (account->own);
  g_hash_table_unref (account->own_numbers);
  g_hash_table_unref (account->peers);
  g_hash_table_unref (account->numbers);
  g_ptr_array_unref (account->names);
  g_array_unref (account->rates);
  g_free (account->instance);
  g_free (account);
}

static guint64
window_of (const struct usage_account *account, gint64 true_now)
{
  return (guint64)(MAX (true_now, 0) / account->window_us);
}

static gint64
window_end (const struct usage_account *account, guint64 window)
{
  return (gint64)(window + 1) * account->window_us;
}

static void
expire_windows (const struct usage_account *account, struct life *life)
{
  for (guint i = life->windows->len; i > 0; i--)
    {
      const struct window_counts *counts
          = &g_array_index (life->windows, struct window_counts, i - 1);
      if (window_end (account, counts->window) < account->now - KEPT_US)
        g_array_remove_index_fast (life->windows, i - 1);
    }
}

/* Forgets what is too old to matter of a peer. Returns whether that is all.  */
static gboolean
expire_peer (gpointer key, gpointer value, gpointer data)
{
  const struct usage_account *account = data;
  struct peer *peer = value;
  (void)key;
  for (guint i = peer->lives->len; i > 0; i--)
    {
      struct life *life = g_ptr_array_index (peer->lives, i - 1);
      expire_windows (account, life);
      if (i < peer->lives->len && life->windows->len == 0)
        g_ptr_array_remove_index (peer->lives, i - 1);
    }
  return account->now - peer->alive_at > PEER_KEPT_US;
}

void
usage_account_tick (struct usage_account *account, gint64 true_now)
{
  gboolean is_new
      = window_of (account, true_now) != window_of (account, account->now);
  if (account->started_at == 0)
    {
      account->started_at = true_now;
      account->own->first_window = window_of (account, true_now);
    }
  account->now = true_now;
  if (!is_new)
    return;
  expire_windows (account, account->own);
  g_hash_table_foreach_remove (account->peers, expire_peer, account);
}

/* Returns the number of NAME, plus 1, or 0 if there are too many names.  */
static guint32
intern (struct usage_account *account, const char *name)
{
  guint32 number
      = GPOINTER_TO_UINT (g_hash_table_lookup (account->numbers, name));
  if (number != 0 || account->names->len >= NAMES_MAX)
    return number;
  char *copy = g_strdup (name);
  g_ptr_array_add (account->names, copy);
  g_hash_table_insert (account->numbers, copy,
                       GUINT_TO_POINTER (account->names->len));
  return account->names->len;
}

/* Like intern, for a name that this instance sends.  */
static guint32
intern_own (struct usage_account *account, const char *name)
{
  guint32 number = intern (account, name);
  struct life *own = account->own;
  if (number == 0
      || g_hash_table_contains (account->own_numbers,
                                GUINT_TO_POINTER (number)))
    return number;
  if (own->names->len >= LIFE_NAMES_MAX)
    return 0;
  const struct life_name life_name = { number, ++own->held };
  g_array_append_val (own->names, life_name);
  g_hash_table_insert (account->own_numbers, GUINT_TO_POINTER (number),
                       GUINT_TO_POINTER (own->names->len));
  return number;
}

static guint32
own_number (const struct usage_account *account, guint32 name)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (account->own_numbers,
                                                GUINT_TO_POINTER (name + 1)))
         - 1;
}

static struct window_counts *
find_window (const struct life *life, guint64 window)
{
  for (guint i = life->windows->len; i > 0; i--)
    {
      struct window_counts *counts
          = &g_array_index (life->windows, struct window_counts, i - 1);
      if (counts->window == window)
        return counts;
    }
  return NULL;
}

/* Returns the entry of NAME in WINDOW; created on first use. Returns NULL if
   there are too many.  */
static struct entry *
get_entry (struct life *life, guint64 window, guint32 name)
{
  struct window_counts *counts = find_window (life, window);
  if (counts == NULL)
    {
      const struct window_counts added
          = { window, g_array_new (FALSE, FALSE, sizeof (struct entry)) };
      g_array_append_val (life->windows, added);
      counts = &g_array_index (life->windows, struct window_counts,
                               life->windows->len - 1);
    }
  guint low = 0;
  guint high = counts->entries->len;
  while (low < high)
    {
      guint middle = (low + high) / 2;
      if (g_array_index (counts->entries, struct entry, middle).name < name)
        low = middle + 1;
      else
        high = middle;
    }
  if (low < counts->entries->len
      && g_array_index (counts->entries, struct entry, low).name == name)
    return &g_array_index (counts->entries, struct entry, low);
  if (counts->entries->len >= WINDOW_COUNTS_MAX)
    return NULL;
  const struct entry entry = { .name = name };
  g_array_insert_val (counts->entries, low, entry);
  return &g_array_index (counts->entries, struct entry, low);
}

/* Counts that have been called complete do not change any more: a request
   counts in the window after, should the estimate of the time have gone back.
 */
void
usage_account_add_request (struct usage_account *account, struct str team,
                           gint64 true_now)
{
  char name[USAGE_MESSAGE_NAME_MAX + 1];
  struct life *own = account->own;
  struct entry *entry = NULL;
  usage_account_tick (account, true_now);
  if (team.n <= USAGE_MESSAGE_NAME_MAX)
    {
      memcpy (name, team.p, team.n);
      name[team.n] = '\0';
      guint32 number = intern_own (account, name);
      if (number != 0)
        entry = get_entry (own,
                           window_of (account, MAX (true_now, own->complete)),
                           number - 1);
    }
  if (entry == NULL)
    {
      account->lost++;
      return;
    }
  entry->requests++;
  entry->revision = ++own->held;
}

static struct total *
get_total (struct life *life, guint32 service, guint32 domain)
{
  for (guint i = 0; i < life->totals->len; i++)
    {
      struct total *total = &g_array_index (life->totals, struct total, i);
      if (total->service == service && total->domain == domain)
        return total;
    }
  if (life->totals->len >= USAGE_MESSAGE_TOTALS_MAX)
    return NULL;
  const struct total added = { .service = service, .domain = domain };
  g_array_append_val (life->totals, added);
  return &g_array_index (life->totals, struct total, life->totals->len - 1);
}

static void
add (struct usage_totals *totals, const struct usage_totals *more)
{
  totals->requests += more->requests;
  totals->uncached_tokens += more->uncached_tokens;
  totals->output_tokens += more->output_tokens;
  totals->rejections += more->rejections;
}

static void
add_rate (struct usage_account *account, guint32 service, guint32 domain,
          const struct usage_totals *more)
{
  struct rate *rate = NULL;
  gint64 second = account->now / CLK_S;
  for (guint i = 0; i < account->rates->len && rate == NULL; i++)
    {
      rate = &g_array_index (account->rates, struct rate, i);
      if (rate->service != service || rate->domain != domain)
        rate = NULL;
    }
  if (rate == NULL)
    {
      guint n = account->rates->len;
      g_array_set_size (account->rates, n + 1);
      rate = &g_array_index (account->rates, struct rate, n);
      rate->service = service;
      rate->domain = domain;
      rate->second = second;
    }
  for (; rate->second < second; rate->second++)
    {
      if (second - rate->second > RATE_BUCKETS)
        rate->second = second - RATE_BUCKETS;
      rate->buckets[(rate->second + 1) % RATE_BUCKETS]
          = (struct usage_totals){ 0 };
    }
  add (&rate->buckets[rate->second % RATE_BUCKETS], more);
}

/* Adds MORE to what requests taken in DOMAIN have asked of SERVICE.  */
void
usage_account_add_totals (struct usage_account *account, const char *service,
                          const char *domain, const struct usage_totals *more)
{
  guint32 number = intern_own (account, service);
  guint32 domain_number = intern_own (account, domain);
  struct total *total
      = number != 0 && domain_number != 0
            ? get_total (account->own, number - 1, domain_number - 1)
            : NULL;
  if (total == NULL)
    {
      account->lost++;
      return;
    }
  add (&total->totals, more);
  total->revision = ++account->own->held;
  add_rate (account, number - 1, domain_number - 1, more);
}

/* Returns the demand of the last RATE_SECONDS.  */
struct usage_demand
usage_account_demand (const struct usage_account *account, const char *service,
                      const char *domain, gint64 true_now)
{
  struct usage_totals sum = { 0 };
  gint64 second = true_now / CLK_S;
  guint32 number
      = GPOINTER_TO_UINT (g_hash_table_lookup (account->numbers, service));
  guint32 domain_number
      = domain == NULL
            ? 0
            : GPOINTER_TO_UINT (g_hash_table_lookup (account->numbers, domain));
  for (guint i = 0; i < account->rates->len; i++)
    {
      const struct rate *rate = &g_array_index (account->rates, struct rate, i);
      if (number == 0 || rate->service != number - 1
          || (domain != NULL && rate->domain + 1 != domain_number))
        continue;
      for (gint64 s = second - RATE_SECONDS; s < second; s++)
        if (s <= rate->second && s > rate->second - RATE_BUCKETS)
          add (&sum, &rate->buckets[s % RATE_BUCKETS]);
    }
  gint64 known_us = account->started_at == 0
                        ? CLK_S
                        : MAX (true_now - account->started_at, CLK_S);
  double seconds = MIN ((double)RATE_SECONDS, (double)known_us / (double)CLK_S);
  return (struct usage_demand){
    .requests_per_s = (double)sum.requests / seconds,
    .uncached_tokens_per_s = (double)sum.uncached_tokens / seconds,
    .output_tokens_per_s = (double)sum.output_tokens / seconds,
    .rejections_per_s = (double)sum.rejections / seconds
  };
}

/* A change of the own counts that a collector does not hold. */
struct change
{
  guint64 revision;
  enum
  {
    CHANGE_NAME,
    CHANGE_TOTAL,
    CHANGE_COUNT
  } kind;
  guint i; /* in the list of its kind */
  guint64 window;
};

static int
compare_changes (gconstpointer a, gconstpointer b)
{
  guint64 x = ((const struct change *)a)->revision;
  guint64 y = ((const struct change *)b)->revision;
  return (x > y) - (x < y);
}

static GArray *
changes_since (const struct usage_account *account, guint64 since)
{
  const struct life *own = account->own;
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct change));
  for (guint i = 0; i < own->names->len; i++)
    {
      const struct change change
          = { g_array_index (own->names, struct life_name, i).revision,
              CHANGE_NAME, i, 0 };
      if (change.revision > since)
        g_array_append_val (changes, change);
    }
  for (guint i = 0; i < own->totals->len; i++)
    {
      const struct change change
          = { g_array_index (own->totals, struct total, i).revision,
              CHANGE_TOTAL, i, 0 };
      if (change.revision > since)
        g_array_append_val (changes, change);
    }
  for (guint w = 0; w < own->windows->len; w++)
    {
      const struct window_counts *counts
          = &g_array_index (own->windows, struct window_counts, w);
      if (window_end (account, counts->window) < account->now - SENT_US)
        continue;
      for (guint i = 0; i < counts->entries->len; i++)
        {
          const struct change change
              = { g_array_index (counts->entries, struct entry, i).revision,
                  CHANGE_COUNT, i, counts->window };
          if (change.revision > since)
            g_array_append_val (changes, change);
        }
    }
  g_array_sort (changes, compare_changes);
  return changes;
}

/* Appends CHANGE to MESSAGE. Returns the bytes that it takes there, at most. */
static gsize
append_change (const struct usage_account *account, const struct change *change,
               struct usage_message *message)
{
  const struct life *own = account->own;
  switch (change->kind)
    {
    case CHANGE_NAME:
      {
        guint32 number
            = g_array_index (own->names, struct life_name, change->i).name - 1;
        struct usage_message_name name = { .number = change->i };
        gsize n
            = g_strlcpy (name.text, g_ptr_array_index (account->names, number),
                         sizeof name.text);
        g_array_append_val (message->names, name);
        return NAME_BYTES + n;
      }
    case CHANGE_TOTAL:
      {
        const struct total *total
            = &g_array_index (own->totals, struct total, change->i);
        const struct usage_message_total added = {
          .service = own_number (account, total->service),
          .domain = own_number (account, total->domain),
          .requests = total->totals.requests,
          .uncached_tokens = total->totals.uncached_tokens,
          .output_tokens = total->totals.output_tokens,
          .rejections = total->totals.rejections,
        };
        g_array_append_val (message->totals, added);
        return TOTAL_BYTES;
      }
    case CHANGE_COUNT:
      {
        const struct entry *entry
            = &g_array_index (find_window (own, change->window)->entries,
                              struct entry, change->i);
        const struct usage_message_count added
            = { .team = own_number (account, entry->name),
                .window = change->window,
                .requests = entry->requests };
        g_array_append_val (message->counts, added);
        return COUNT_BYTES;
      }
    }
  return 0;
}

/* Fills MESSAGE with what has changed of the own counts since the change SINCE,
   or the first part of it. Returns whether there is more, after the change
   THROUGH of the message. With IS_SETTLED FALSE, the counts are not called
   complete, because the time may yet turn out wrong.  */
gboolean
usage_account_fill (struct usage_account *account, guint64 since,
                    gboolean is_settled, gint64 true_now,
                    struct usage_message *message)
{
  struct life *own = account->own;
  gsize bytes = 0;
  usage_account_tick (account, true_now);
  GArray *changes = changes_since (account, since);
  guint i = 0;
  usage_message_reset (message, USAGE_MESSAGE_COUNTS);
  message->incarnation = own->incarnation;
  message->first_window = own->first_window;
  message->since = message->through = since;
  for (; i < changes->len && bytes < FILL_MAX - USAGE_MESSAGE_NAME_MAX
         && message->names->len < USAGE_MESSAGE_NAMES_MAX;
       i++)
    {
      const struct change *change = &g_array_index (changes, struct change, i);
      bytes += append_change (account, change, message);
      message->through = change->revision;
    }
  gboolean is_more = i < changes->len;
  g_array_unref (changes);
  if (is_more)
    return TRUE;
  message->through = MAX (own->held, since);
  if (is_settled)
    own->complete = MAX (own->complete, true_now);
  message->complete = is_settled ? own->complete : 0;
  return FALSE;
}

static struct peer *
get_peer (struct usage_account *account, guint32 ip)
{
  gpointer key = GUINT_TO_POINTER (ip);
  struct peer *peer = g_hash_table_lookup (account->peers, key);
  if (peer != NULL || g_hash_table_size (account->peers) >= PEERS_MAX)
    return peer;
  peer = g_new0 (struct peer, 1);
  peer->ip = ip;
  peer->lives = g_ptr_array_new_with_free_func (life_free);
  g_hash_table_insert (account->peers, key, peer);
  return peer;
}

static struct life *
get_life (struct peer *peer, guint32 incarnation, guint64 first_window)
{
  for (guint i = 0; i < peer->lives->len; i++)
    {
      struct life *life = g_ptr_array_index (peer->lives, i);
      if (life->incarnation == incarnation)
        return life;
    }
  if (peer->lives->len >= LIVES_MAX)
    g_ptr_array_remove_index (peer->lives, 0);
  g_ptr_array_add (peer->lives, life_new (incarnation, first_window));
  return g_ptr_array_index (peer->lives, peer->lives->len - 1);
}

static void
merge_names (struct usage_account *account, struct life *life,
             const struct usage_message *message)
{
  for (guint i = 0; i < message->names->len; i++)
    {
      const struct usage_message_name *name
          = &g_array_index (message->names, struct usage_message_name, i);
      if (name->number >= LIFE_NAMES_MAX)
        continue;
      if (name->number >= life->names->len)
        g_array_set_size (life->names, name->number + 1);
      g_array_index (life->names, struct life_name, name->number).name
          = intern (account, name->text);
    }
}

/* Returns the name with NUMBER at a peer in the account, plus 1; 0: it is not
   known.  */
static guint32
name_at (const struct life *life, guint32 number)
{
  return number < life->names->len
             ? g_array_index (life->names, struct life_name, number).name
             : 0;
}

static guint64
increase (guint64 *held, guint64 told)
{
  guint64 more = told > *held ? told - *held : 0;
  *held += more;
  return more;
}

/* IS_FIRST: nothing was held of the peer, whose totals are of a longer time. */
static void
merge_totals (struct usage_account *account, struct life *life,
              const struct usage_message *message, gboolean is_first)
{
  for (guint i = 0; i < message->totals->len; i++)
    {
      const struct usage_message_total *told
          = &g_array_index (message->totals, struct usage_message_total, i);
      guint32 service = name_at (life, told->service);
      guint32 domain = name_at (life, told->domain);
      struct total *total = service != 0 && domain != 0
                                ? get_total (life, service - 1, domain - 1)
                                : NULL;
      if (total == NULL)
        continue;
      struct usage_totals *held = &total->totals;
      const struct usage_totals more
          = { increase (&held->requests, told->requests),
              increase (&held->uncached_tokens, told->uncached_tokens),
              increase (&held->output_tokens, told->output_tokens),
              increase (&held->rejections, told->rejections) };
      if (!is_first)
        add_rate (account, service - 1, domain - 1, &more);
    }
}

static void
merge_counts (struct usage_account *account, struct life *life,
              const struct usage_message *message)
{
  guint64 window = window_of (account, account->now);
  for (guint i = 0; i < message->counts->len; i++)
    {
      const struct usage_message_count *count
          = &g_array_index (message->counts, struct usage_message_count, i);
      guint32 name = name_at (life, count->team);
      if (name == 0 || count->window > window + AHEAD_MAX
          || window_end (account, count->window) < account->now - KEPT_US)
        continue;
      struct entry *entry = get_entry (life, count->window, name - 1);
      if (entry == NULL)
        account->lost++;
      else
        entry->requests = MAX (entry->requests, (guint32)count->requests);
    }
}

/* Takes over what the instance at IP has counted. Returns its last change that
   is held now, which is the answer to it. What a message says of completeness
   holds only if all changes before it are held.  */
guint64
usage_account_merge (struct usage_account *account, guint32 ip,
                     const struct usage_message *message, gint64 true_now)
{
  struct peer *peer;
  usage_account_tick (account, true_now);
  peer = get_peer (account, ip);
  if (peer == NULL)
    return 0;
  struct life *life
      = get_life (peer, message->incarnation, message->first_window);
  gboolean is_first = life->complete == 0;
  peer->heard_at = true_now;
  peer->alive_at = MAX (peer->alive_at, true_now);
  merge_names (account, life, message);
  merge_totals (account, life, message, is_first);
  merge_counts (account, life, message);
  if (message->since > life->held)
    return life->held;
  life->held = MAX (life->held, message->through);
  life->complete = MAX (life->complete, message->complete);
  return life->held;
}

/* The instance at IP, in DOMAIN, has given a sign of life at ALIVE_AT.  */
void
usage_account_member (struct usage_account *account, guint32 ip,
                      const char *domain, gint64 alive_at)
{
  struct peer *peer
      = account->now - alive_at > PEER_KEPT_US ? NULL : get_peer (account, ip);
  if (peer == NULL)
    return;
  peer->alive_at = MAX (peer->alive_at, alive_at);
  if (domain[0] != '\0')
    peer->domain = intern (account, domain);
}

/* Sets the longest interval between the messages of an instance.  */
void
usage_account_set_interval (struct usage_account *account, gint64 interval_us)
{
  account->interval_us = interval_us;
}

static gboolean
is_silent (const struct usage_account *account, const struct peer *peer)
{
  return account->now - peer->alive_at
         > SILENT_INTERVALS * account->interval_us + SILENT_US;
}

/* Returns the domains, plus 1, of which some instance is heard, as keys.  */
static GHashTable *
heard_domains (const struct usage_account *account)
{
  GHashTable *domains = g_hash_table_new (g_direct_hash, g_direct_equal);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, account->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      if (peer->domain != 0 && !is_silent (account, peer))
        g_hash_table_add (domains, GUINT_TO_POINTER (peer->domain));
    }
  return domains;
}

/* Returns whether it is to be waited for the counts of PEER. One that has ended
   will send nothing more.  */
static gboolean
is_awaited (const struct usage_account *account, const struct peer *peer,
            GHashTable *heard)
{
  if (account->now - peer->alive_at > GONE_US)
    return FALSE;
  return !is_silent (account, peer)
         || !g_hash_table_contains (heard, GUINT_TO_POINTER (peer->domain));
}

/* Returns what is known of WINDOW. While this instance may not know the others
   yet, it misses one.  */
struct usage_window_state
usage_account_window_state (struct usage_account *account, guint64 window,
                            gint64 true_now)
{
  struct usage_window_state state = { 0 };
  GHashTableIter iter;
  gpointer value;
  usage_account_tick (account, true_now);
  state.is_known = account->own->first_window <= window;
  if (true_now - account->started_at < STARTING_US + account->interval_us)
    {
      state.n_missing++;
      g_strlcpy (state.missing, "starting", sizeof state.missing);
    }
  GHashTable *heard = heard_domains (account);
  g_hash_table_iter_init (&iter, account->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      const struct life *latest
          = peer->lives->len > 0
                ? g_ptr_array_index (peer->lives, peer->lives->len - 1)
                : NULL;
      for (guint i = 0; i < peer->lives->len; i++)
        state.is_known
            |= ((struct life *)g_ptr_array_index (peer->lives, i))->first_window
               <= window;
      if ((latest != NULL && latest->complete >= window_end (account, window))
          || !is_awaited (account, peer, heard))
        continue;
      state.n_missing++;
      g_snprintf (state.missing, sizeof state.missing, "%u.%u.%u.%u",
                  peer->ip >> 24, peer->ip >> 16 & 255, peer->ip >> 8 & 255,
                  peer->ip & 255);
    }
  g_hash_table_unref (heard);
  return state;
}

static void
add_window (const struct life *life, guint64 window, guint64 *sums)
{
  const struct window_counts *counts = find_window (life, window);
  for (guint i = 0; counts != NULL && i < counts->entries->len; i++)
    {
      const struct entry *entry
          = &g_array_index (counts->entries, struct entry, i);
      sums[entry->name] += entry->requests;
    }
}

/* Appends to COUNTS, of struct usage_count, the requests of each team in WINDOW
   at all instances. The names are borrowed from the account. The own counts of
   the window do not change any more.  */
void
usage_account_sum (struct usage_account *account, guint64 window,
                   gint64 true_now, GArray *counts)
{
  GHashTableIter iter;
  gpointer value;
  guint64 *sums = g_new0 (guint64, account->names->len + 1);
  usage_account_tick (account, true_now);
  if (true_now >= window_end (account, window))
    account->own->complete
        = MAX (account->own->complete, window_end (account, window));
  add_window (account->own, window, sums);
  g_hash_table_iter_init (&iter, account->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      for (guint i = 0; i < peer->lives->len; i++)
        add_window (g_ptr_array_index (peer->lives, i), window, sums);
    }
  for (guint i = 0; i < account->names->len; i++)
    {
      const struct usage_count count
          = { g_ptr_array_index (account->names, i), sums[i] };
      if (count.requests > 0)
        g_array_append_val (counts, count);
    }
  g_free (sums);
}

/* Returns the number of other instances of which something is known.  */
guint
usage_account_n_peers (const struct usage_account *account)
{
  return g_hash_table_size (account->peers);
}

/* Returns the number of counts that were dropped for lack of room.  */
guint64
usage_account_lost (const struct usage_account *account)
{
  return account->lost;
}

static gsize
life_bytes (const struct life *life)
{
  gsize n = sizeof *life + life->names->len * sizeof (struct life_name)
            + life->totals->len * sizeof (struct total)
            + life->windows->len * sizeof (struct window_counts);
  for (guint i = 0; i < life->windows->len; i++)
    n += g_array_index (life->windows, struct window_counts, i).entries->len
         * sizeof (struct entry);
  return n;
}

/* Returns the bytes that the counts of all instances take, without the spare
   room of the lists.  */
gsize
usage_account_bytes (const struct usage_account *account)
{
  GHashTableIter iter;
  gpointer value;
  gsize n
      = life_bytes (account->own) + account->rates->len * sizeof (struct rate);
  g_hash_table_iter_init (&iter, account->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;
      n += sizeof *peer;
      for (guint i = 0; i < peer->lives->len; i++)
        n += life_bytes (g_ptr_array_index (peer->lives, i));
    }
  return n;
}
